#include "settings/configurationcodec.h"

#include "global/hash.h"
#include "settings/configurationreader.h"
#include "settings/duplicatecheck.h"
#include "settings/jsonfile.h"
#include "settings/types/configuration.h"
#include "settings/types/encodedconfiguration.h"

#include <map>
#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

namespace radishladder::settings {
namespace {
constexpr std::size_t kDigestBytes = 16;
constexpr std::uint64_t kServiceGroups = 64;

std::string digestOf(const std::string &text)
{
    unsigned char digest[kDigestBytes];
    crypto_generichash(digest, sizeof digest, reinterpret_cast<const unsigned char *>(text.data()),
                       text.size(), nullptr, 0);
    char hex[2 * kDigestBytes + 1];
    sodium_bin2hex(hex, sizeof hex, digest, sizeof digest);
    return hex;
}
}

EncodedConfiguration ConfigurationCodec::encode(const Configuration &configuration) const
{
    EncodedConfiguration encoded;
    const auto addPart = [&encoded](const Json::Value &part) {
        const std::string text = jsonText(part);
        std::string digest = digestOf(text);
        encoded.partsByDigest[digest] = text;
        return digest;
    };
    Json::Value head = configurationJson(configuration);
    std::map<std::uint64_t, Json::Value> groups;
    for (const Json::Value &service : head["services"]) {
        groups[hash64(service["name"].asString()) % kServiceGroups].append(addPart(service));
    }
    head.removeMember("services");
    head["groups"] = Json::Value(Json::arrayValue);
    for (const auto &[number, group] : groups) {
        head["groups"].append(addPart(group));
    }
    encoded.head = jsonText(head);
    return encoded;
}

std::optional<std::vector<std::string>> ConfigurationCodec::digests(const std::string &head,
                                                                    const FindPart &findPart)
{
    this->reason = {};
    const auto json = parseJson(head, "configuration head", this->reason);
    if (!json) {
        return std::nullopt;
    }
    if (!json->isObject() || !(*json)["groups"].isArray()) {
        this->reason = {ResultCode::FieldType, "configuration head: /groups is not an array"};
        return std::nullopt;
    }
    std::vector<std::string> digests;
    for (const Json::Value &group : (*json)["groups"]) {
        digests.push_back(group.isString() ? group.asString() : std::string());
        const auto text = findPart(digests.back());
        if (!text) {
            continue;
        }
        const auto services = parseJson(*text, "group " + digests.back(), this->reason);
        if (!services) {
            return std::nullopt;
        }
        for (const Json::Value &service : *services) {
            digests.push_back(service.isString() ? service.asString() : std::string());
        }
    }
    return digests;
}

std::optional<Json::Value> ConfigurationCodec::readPart(const std::string &digest,
                                                        const FindPart &findPart)
{
    const auto text = findPart(digest);
    if (!text) {
        this->reason = {ResultCode::StoreKeyMissing, "part " + digest + " is not known"};
        return std::nullopt;
    }
    if (digestOf(*text) != digest) {
        this->reason = {ResultCode::StoreAnswerInvalid, "part " + digest + " has another content"};
        return std::nullopt;
    }
    return parseJson(*text, "part " + digest, this->reason);
}

std::shared_ptr<const Service> ConfigurationCodec::readService(
    const std::string &digest, const FindPart &findPart, const std::vector<DataCentre> &dataCentres)
{
    const auto known = this->decoded.find(digest);
    if (known != this->decoded.end()) {
        return known->second;
    }
    const auto part = this->readPart(digest, findPart);
    if (!part) {
        return nullptr;
    }
    ConfigurationReader reader;
    auto service = reader.readService(*part, dataCentres);
    this->reason = reader.lastReason();
    return service ? std::make_shared<const Service>(std::move(*service)) : nullptr;
}

bool ConfigurationCodec::readServices(const Json::Value &groups, const FindPart &findPart,
                                      Configuration &configuration)
{
    std::map<std::string, std::shared_ptr<const Service>> services;
    for (const Json::Value &groupDigest : groups) {
        const auto group = this->readPart(groupDigest.asString(), findPart);
        if (!group) {
            return false;
        }
        for (const Json::Value &digest : *group) {
            auto service =
                this->readService(digest.asString(), findPart, configuration.dataCentres);
            if (!service) {
                return false;
            }
            configuration.services.push_back(*service);
            services[digest.asString()] = std::move(service);
        }
    }
    this->decoded = std::move(services);
    return true;
}

std::optional<Configuration> ConfigurationCodec::decode(const std::string &head,
                                                        const FindPart &findPart)
{
    this->reason = {};
    auto json = parseJson(head, "configuration head", this->reason);
    if (!json) {
        return std::nullopt;
    }
    if (!json->isObject() || !(*json)["groups"].isArray()) {
        this->reason = {ResultCode::FieldType, "configuration head: /groups is not an array"};
        return std::nullopt;
    }
    const Json::Value groups = (*json)["groups"];
    json->removeMember("groups");
    (*json)["services"] = Json::Value(Json::arrayValue);
    ConfigurationReader reader;
    auto configuration = reader.read(*json);
    if (!configuration) {
        this->reason = reader.lastReason();
        return std::nullopt;
    }
    // A data centre that was renamed or dropped invalidates services that were decoded before.
    std::vector<DataCentreName> names;
    for (const DataCentre &dataCentre : configuration->dataCentres) {
        names.push_back(dataCentre.name);
    }
    if (names != this->dataCentres) {
        this->decoded.clear();
        this->dataCentres = std::move(names);
    }
    if (!this->readServices(groups, findPart, *configuration)) {
        return std::nullopt;
    }
    if (auto duplicate = findDuplicate(*configuration)) {
        this->reason = std::move(*duplicate);
        return std::nullopt;
    }
    return configuration;
}
}
