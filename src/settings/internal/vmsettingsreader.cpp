#include "settings/vmsettingsreader.h"

#include "settings/fieldreader.h"
#include "settings/jsonfile.h"

#include <algorithm>

namespace radishladder::settings {
namespace {
constexpr std::size_t kPeerKeyDigits = 64;
constexpr int kLastPort = 65535;
constexpr int kDataPorts = 3;

std::vector<net::Endpoint> readPlatform(FieldReader &reader)
{
    std::vector<net::Endpoint> endpoints;
    for (const Json::Value &entry : reader.array("platform", true)) {
        const auto endpoint =
            entry.isString() ? net::parseEndpoint(entry.asString()) : std::nullopt;
        if (!endpoint) {
            reader.fail(ResultCode::FieldType, "platform", "holds no IPv4 address and port");
            break;
        }
        if (std::ranges::find(endpoints, *endpoint) != endpoints.end()) {
            reader.fail(ResultCode::DuplicateAddress, "platform", "holds an address twice");
        }
        endpoints.push_back(*endpoint);
    }
    if (endpoints.empty()) {
        reader.fail(ResultCode::FieldRange, "platform", "is empty");
    }
    return endpoints;
}

FlowMechanism readFlowMechanism(FieldReader &reader)
{
    const std::string text = reader.textOr("flowMechanism", "epochs");
    if (text == "epochs") {
        return FlowMechanism::Epochs;
    }
    if (text == "hash") {
        return FlowMechanism::Hash;
    }
    if (text == "hash-cache") {
        return FlowMechanism::HashCache;
    }
    if (text != "home") {
        reader.fail(ResultCode::FieldRange, "flowMechanism",
                    "is none of epochs, hash, hash-cache, home");
    }
    return FlowMechanism::Home;
}

RequestMechanism readRequestMechanism(FieldReader &reader)
{
    const std::string text = reader.textOr("requestMechanism", "shared");
    if (text == "shared") {
        return RequestMechanism::Shared;
    }
    if (text == "least-connections") {
        return RequestMechanism::LeastConnections;
    }
    if (text != "round-robin") {
        reader.fail(ResultCode::FieldRange, "requestMechanism",
                    "is none of shared, least-connections, round-robin");
    }
    return RequestMechanism::RoundRobin;
}

bool isPeerKey(const Json::Value &value)
{
    return value.isString() && value.asString().size() == kPeerKeyDigits
        && std::ranges::all_of(value.asString(),
                               [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::vector<std::string> readPeerKeys(FieldReader &reader)
{
    std::vector<std::string> keys;
    for (const Json::Value &entry : reader.array("peerKeys", true)) {
        if (!isPeerKey(entry)) {
            reader.fail(ResultCode::FieldRange, "peerKeys",
                        "holds a key that is not 64 hexadecimal digits");
            break;
        }
        keys.push_back(entry.asString());
    }
    if (keys.empty() || keys.size() > 2) {
        reader.fail(ResultCode::FieldRange, "peerKeys", "must hold one or two keys");
    }
    return keys;
}

void checkPorts(FieldReader &reader, const VmSettings &settings)
{
    const std::pair<const char *, net::Endpoint> endpoints[] = {{"data", settings.data},
                                                                {"peer", settings.peer},
                                                                {"requests", settings.requests},
                                                                {"admin", settings.admin}};
    for (const auto &[field, endpoint] : endpoints) {
        if (endpoint.port == 0) {
            reader.fail(ResultCode::FieldRange, field, "has port 0");
        }
    }
    if (settings.data.port > kLastPort - (kDataPorts - 1)) {
        reader.fail(ResultCode::FieldRange, "data", "needs three ports and leaves too few");
    }
}

void checkDistinct(FieldReader &reader, const VmSettings &settings)
{
    if (settings.requests == settings.admin) {
        reader.fail(ResultCode::DuplicateAddress, "admin", "is the same as requests");
    }
    for (int offset = 0; offset < kDataPorts; ++offset) {
        const net::Endpoint used{settings.data.address,
                                 static_cast<std::uint16_t>(settings.data.port + offset)};
        if (used == settings.peer) {
            reader.fail(ResultCode::DuplicateAddress, "peer",
                        "is one of the three ports from data on");
        }
    }
}
}

std::optional<VmSettings> VmSettingsReader::read(const std::string &path)
{
    this->reason = {};
    const auto json = readJsonFile(path, this->reason);
    if (!json) {
        return std::nullopt;
    }
    FieldReader reader(*json, "", this->reason);
    VmSettings settings;
    settings.name = VmName(reader.text("name"));
    settings.dataCentre = DataCentreName(reader.text("dataCentre"));
    settings.data = reader.endpoint("data");
    settings.peer = reader.endpoint("peer");
    settings.requests = reader.endpoint("requests");
    settings.admin = reader.endpoint("admin");
    settings.platform = readPlatform(reader);
    settings.peerKeys = readPeerKeys(reader);
    settings.adminToken = reader.text("adminToken");
    settings.openReads = reader.booleanOr("openReads", true);
    settings.flowMechanism = readFlowMechanism(reader);
    settings.requestMechanism = readRequestMechanism(reader);
    reader.rejectUnknownFields();
    checkPorts(reader, settings);
    checkDistinct(reader, settings);
    if (!reader.isOk()) {
        this->reason.detail = path + ": " + this->reason.detail;
        return std::nullopt;
    }
    return settings;
}
}
