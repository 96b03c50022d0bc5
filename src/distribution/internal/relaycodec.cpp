#include "distribution/relaycodec.h"

#include "global/reason.h"
#include "net/compression.h"
#include "settings/jsonfile.h"

#include <absl/strings/escaping.h>
#include <json/value.h>

namespace radishladder::distribution {
namespace {
//! Bounds the memory that a response can take.
constexpr std::size_t kMaxTextBytes = 32 * 1024 * 1024;

constexpr const char *kRevision = "revision";
constexpr const char *kEra = "era";
constexpr const char *kQueryStore = "askStore";
constexpr const char *kChanges = "changes";
constexpr const char *kAgeMs = "ageMs";
constexpr const char *kFreshAgeMs = "freshMs";
constexpr const char *kKey = "key";
constexpr const char *kValue = "value";
constexpr const char *kCreated = "created";
constexpr const char *kRemoved = "removed";

Json::Value itemJson(const store::StoreItem &item)
{
    Json::Value json;
    json[kKey] = item.key;
    json[kRevision] = Json::UInt64(item.revision);
    if (item.isRemoval) {
        json[kRemoved] = true;
        return json;
    }
    json[kValue] = absl::Base64Escape(item.value);
    json[kCreated] = Json::UInt64(item.createdRevision);
    return json;
}

std::optional<store::StoreItem> parseItem(const Json::Value &json)
{
    if (!json.isObject() || !json[kKey].isString() || !json[kRevision].isUInt64()) {
        return std::nullopt;
    }
    store::StoreItem item{.key = json[kKey].asString(), .revision = json[kRevision].asUInt64()};
    item.isRemoval = json[kRemoved].isBool() && json[kRemoved].asBool();
    if (item.isRemoval) {
        return item;
    }
    if (!json[kValue].isString() || !json[kCreated].isUInt64()
        || !absl::Base64Unescape(json[kValue].asString(), &item.value)) {
        return std::nullopt;
    }
    item.createdRevision = json[kCreated].asUInt64();
    return item;
}
}

std::string relayText(const RelayResponse &response)
{
    Json::Value json;
    json[kRevision] = Json::UInt64(response.listing.revision);
    if (response.hasEra) {
        json[kEra] = Json::UInt64(response.listing.era);
    }
    json[kQueryStore] = response.outcome == RelayOutcome::QueryStore;
    json[kAgeMs] = Json::Int64(response.age.count());
    if (response.freshAge) {
        json[kFreshAgeMs] = Json::Int64(response.freshAge->count());
    }
    json[kChanges] = Json::arrayValue;
    for (const store::StoreItem &item : response.listing.items) {
        json[kChanges].append(itemJson(item));
    }
    return settings::jsonText(json);
}

std::optional<RelayResponse> parseRelayText(const std::string &text)
{
    Reason reason;
    const auto json = settings::parseJson(text, "relay", reason);
    if (!json || !json->isObject() || !(*json)[kRevision].isUInt64()
        || !(*json)[kQueryStore].isBool() || !(*json)[kChanges].isArray()
        || !(*json)[kAgeMs].isInt64() || (*json)[kAgeMs].asInt64() < 0
        || (json->isMember(kFreshAgeMs)
            && (!(*json)[kFreshAgeMs].isInt64() || (*json)[kFreshAgeMs].asInt64() < 0))
        || (json->isMember(kEra) && !(*json)[kEra].isUInt64())) {
        return std::nullopt;
    }
    RelayResponse response;
    response.listing.status = store::StoreStatus::Ok;
    response.listing.revision = (*json)[kRevision].asUInt64();
    response.hasEra = json->isMember(kEra);
    response.listing.era = response.hasEra ? (*json)[kEra].asUInt64() : 0;
    response.age = std::chrono::milliseconds((*json)[kAgeMs].asInt64());
    if (json->isMember(kFreshAgeMs)) {
        response.freshAge = std::chrono::milliseconds((*json)[kFreshAgeMs].asInt64());
    }
    for (const Json::Value &entry : (*json)[kChanges]) {
        auto item = parseItem(entry);
        if (!item) {
            return std::nullopt;
        }
        response.listing.items.push_back(std::move(*item));
    }
    if ((*json)[kQueryStore].asBool()) {
        response.outcome = RelayOutcome::QueryStore;
    } else {
        response.outcome =
            response.listing.items.empty() ? RelayOutcome::NoChanges : RelayOutcome::Changes;
    }
    return response;
}

std::string unavailableText(std::uint64_t era)
{
    Json::Value json(Json::objectValue);
    if (era != 0) {
        json[kEra] = Json::UInt64(era);
    }
    return settings::jsonText(json);
}

std::uint64_t parseUnavailableText(const std::string &text)
{
    Reason reason;
    const auto json = settings::parseJson(text, "relay", reason);
    return json && json->isObject() && (*json)[kEra].isUInt64() ? (*json)[kEra].asUInt64() : 0;
}

std::optional<RelayResponse> parseRelayBody(const std::string &body)
{
    if (body.starts_with('{')) {
        return parseRelayText(body);
    }
    const auto text = net::decompress(body, kMaxTextBytes);
    return text ? parseRelayText(*text) : std::nullopt;
}
}
