#include "settings/configurationreader.h"

#include "settings/fieldreader.h"

#include <algorithm>
#include <limits>
#include <set>

namespace radishladder::settings {
namespace {
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxSlots = 10000;
constexpr std::int64_t kMaxConnections = 10000000;
constexpr std::int64_t kMaxWeight = 10000;
constexpr std::int64_t kMaxPriority = 100;
constexpr std::int64_t kMaxIdleSeconds = 7 * 24 * 3600;
constexpr std::int64_t kMaxTimeoutMs = 3600 * 1000;
constexpr std::int64_t kMaxBodyBytes = 64 * 1024 * 1024;

//! Names and addresses read so far; each must be unique in the configuration.
struct UsedValues
{
    std::set<DataCentreName> dataCentres;
    std::set<ServiceName> services;
    std::set<std::pair<net::Endpoint, Protocol>> addresses;
    std::set<UpstreamName> upstreams;
    std::set<net::Endpoint> tunnels;
};

std::string itemPath(const std::string &list, Json::ArrayIndex index, const Json::Value &item)
{
    const bool isNamed = item.isObject() && item["name"].isString();
    return "/" + list + "/" + (isNamed ? item["name"].asString() : std::to_string(index));
}

DataCentre readDataCentre(FieldReader &reader, UsedValues &used)
{
    DataCentre dataCentre;
    dataCentre.name = DataCentreName(reader.text("name"));
    dataCentre.isEvacuated = reader.booleanOr("out", false);
    reader.rejectUnknownFields();
    if (!used.dataCentres.insert(dataCentre.name).second) {
        reader.fail(ResultCode::DuplicateName, "name", "is used twice");
    }
    return dataCentre;
}

Upstream readUpstream(FieldReader &reader, UsedValues &used)
{
    Upstream upstream;
    upstream.name = UpstreamName(reader.text("name"));
    upstream.dataCentre = DataCentreName(reader.text("dataCentre"));
    const std::uint32_t address = reader.address("address");
    upstream.tunnel = {address,
                       static_cast<std::uint16_t>(reader.integer("tunnelPort", 1, kMaxPort))};
    upstream.http = {address,
                     static_cast<std::uint16_t>(reader.integerOr("httpPort", 1, kMaxPort, 0))};
    upstream.slots = static_cast<int>(reader.integerOr("slots", 1, kMaxSlots, 3));
    upstream.connections =
        static_cast<int>(reader.integerOr("connections", 1, kMaxConnections, 2000));
    upstream.weight = static_cast<int>(reader.integerOr("weight", 1, kMaxWeight, 100));
    upstream.isDraining = reader.booleanOr("drain", false);
    reader.rejectUnknownFields();
    if (!used.dataCentres.contains(upstream.dataCentre)) {
        reader.fail(ResultCode::UnknownDataCentre, "dataCentre",
                    "names a data centre that is not configured");
    }
    if (!used.upstreams.insert(upstream.name).second) {
        reader.fail(ResultCode::DuplicateName, "name", "is used twice");
    }
    if (!used.tunnels.insert(upstream.tunnel).second) {
        reader.fail(ResultCode::DuplicateAddress, "address",
                    "is used twice with the same tunnel port");
    }
    return upstream;
}

Protocol readProtocol(FieldReader &reader)
{
    const std::string text = reader.textOr("protocol", "tcp");
    if (text != "tcp" && text != "udp") {
        reader.fail(ResultCode::FieldRange, "protocol", "is neither tcp nor udp");
    }
    return text == "udp" ? Protocol::Udp : Protocol::Tcp;
}

Service readServiceFields(FieldReader &reader, UsedValues &used, Reason &reason)
{
    Service service;
    service.name = ServiceName(reader.text("name"));
    service.address = {reader.address("address"),
                       static_cast<std::uint16_t>(reader.integer("port", 1, kMaxPort))};
    service.protocol = readProtocol(reader);
    service.idleTimeout =
        std::chrono::seconds(reader.integerOr("idleSeconds", 1, kMaxIdleSeconds, 3600));
    service.priority = static_cast<int>(reader.integerOr("priority", 1, kMaxPriority, 10));
    service.requestTimeout =
        std::chrono::milliseconds(reader.integerOr("requestTimeoutMs", 1, kMaxTimeoutMs, 10000));
    service.maxBodyBytes = static_cast<std::uint64_t>(
        reader.integerOr("maxBodyBytes", 0, kMaxBodyBytes, 8LL * 1024 * 1024));
    const Json::Value &upstreams = reader.array("upstreams", true);
    for (Json::ArrayIndex i = 0; i < upstreams.size() && reader.isOk(); ++i) {
        FieldReader upstreamReader(
            upstreams[i], reader.pathOf("") + itemPath("upstreams", i, upstreams[i]), reason);
        service.upstreams.push_back(readUpstream(upstreamReader, used));
    }
    reader.rejectUnknownFields();
    if (!used.services.insert(service.name).second) {
        reader.fail(ResultCode::DuplicateName, "name", "is used twice");
    }
    if (!used.addresses.insert({service.address, service.protocol}).second) {
        reader.fail(ResultCode::DuplicateAddress, "address",
                    "is used twice with the same port and protocol");
    }
    return service;
}

Json::Value upstreamJson(const Upstream &upstream)
{
    Json::Value json(Json::objectValue);
    json["name"] = upstream.name.str();
    json["dataCentre"] = upstream.dataCentre.str();
    json["address"] = net::addressText(upstream.tunnel.address);
    json["tunnelPort"] = upstream.tunnel.port;
    if (upstream.http.port != 0) {
        json["httpPort"] = upstream.http.port;
    }
    json["slots"] = upstream.slots;
    json["connections"] = upstream.connections;
    json["weight"] = upstream.weight;
    json["drain"] = upstream.isDraining;
    return json;
}

Json::Value serviceJson(const Service &service)
{
    Json::Value json(Json::objectValue);
    json["name"] = service.name.str();
    json["address"] = net::addressText(service.address.address);
    json["port"] = service.address.port;
    json["protocol"] = service.protocol == Protocol::Udp ? "udp" : "tcp";
    json["idleSeconds"] = static_cast<Json::Int64>(service.idleTimeout.count());
    json["priority"] = service.priority;
    json["requestTimeoutMs"] = static_cast<Json::Int64>(service.requestTimeout.count());
    json["maxBodyBytes"] = static_cast<Json::UInt64>(service.maxBodyBytes);
    json["upstreams"] = Json::Value(Json::arrayValue);
    for (const Upstream &upstream : service.upstreams) {
        json["upstreams"].append(upstreamJson(upstream));
    }
    return json;
}
}

std::optional<Configuration> ConfigurationReader::read(const Json::Value &json)
{
    this->reason = {};
    FieldReader reader(json, "", this->reason);
    Configuration configuration;
    UsedValues used;
    configuration.generation = static_cast<std::uint64_t>(
        reader.integerOr("generation", 0, std::numeric_limits<std::int64_t>::max(), 0));
    configuration.changeId = reader.textOr("changeId", "none");
    configuration.isFrozen = reader.booleanOr("freeze", false);
    const Json::Value &dataCentres = reader.array("dataCentres", true);
    for (Json::ArrayIndex i = 0; i < dataCentres.size() && reader.isOk(); ++i) {
        FieldReader item(dataCentres[i], itemPath("dataCentres", i, dataCentres[i]), this->reason);
        configuration.dataCentres.push_back(readDataCentre(item, used));
    }
    const Json::Value &services = reader.array("services", true);
    for (Json::ArrayIndex i = 0; i < services.size() && reader.isOk(); ++i) {
        FieldReader item(services[i], itemPath("services", i, services[i]), this->reason);
        configuration.services.push_back(readServiceFields(item, used, this->reason));
    }
    reader.rejectUnknownFields();
    if (!reader.isOk()) {
        return std::nullopt;
    }
    return configuration;
}

std::optional<Service> ConfigurationReader::readService(const Json::Value &json,
                                                        const std::vector<DataCentre> &dataCentres)
{
    this->reason = {};
    UsedValues used;
    for (const DataCentre &dataCentre : dataCentres) {
        used.dataCentres.insert(dataCentre.name);
    }
    FieldReader reader(json, itemPath("services", 0, json), this->reason);
    Service service = readServiceFields(reader, used, this->reason);
    return reader.isOk() ? std::make_optional(std::move(service)) : std::nullopt;
}

Json::Value configurationJson(const Configuration &configuration)
{
    Json::Value json(Json::objectValue);
    json["generation"] = static_cast<Json::UInt64>(configuration.generation);
    json["changeId"] = configuration.changeId;
    json["freeze"] = configuration.isFrozen;
    json["dataCentres"] = Json::Value(Json::arrayValue);
    for (const DataCentre &dataCentre : configuration.dataCentres) {
        Json::Value item(Json::objectValue);
        item["name"] = dataCentre.name.str();
        item["out"] = dataCentre.isEvacuated;
        json["dataCentres"].append(item);
    }
    json["services"] = Json::Value(Json::arrayValue);
    for (const Service &service : configuration.services) {
        json["services"].append(serviceJson(service));
    }
    return json;
}
}
