#include "placement/epochcodec.h"

#include "settings/jsonfile.h"
#include "store/base64.h"

#include <algorithm>
#include <bit>
#include <charconv>

namespace radishladder::placement {
namespace {
constexpr int kHexBase = 16;

std::string hexOf(std::uint64_t value)
{
    char text[2 * sizeof value];
    const auto end = std::to_chars(text, text + sizeof text, value, kHexBase);
    return {text, end.ptr};
}

std::optional<std::uint64_t> valueOfHex(const std::string &text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string slotBytes(const std::vector<std::uint16_t> &slots)
{
    std::string bytes;
    bytes.reserve(slots.size() * 2);
    for (const std::uint16_t slot : slots) {
        bytes.push_back(static_cast<char>(slot >> 8));
        bytes.push_back(static_cast<char>(slot & 0xff));
    }
    return bytes;
}

std::vector<std::uint16_t> slotsOf(const std::string &bytes)
{
    std::vector<std::uint16_t> slots;
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
        slots.push_back(static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[i]) << 8
                                                   | static_cast<unsigned char>(bytes[i + 1])));
    }
    return slots;
}

std::optional<EpochTable> tableOf(const Json::Value &json)
{
    if (!json.isObject() || !json["epoch"].isUInt64() || !json["members"].isArray()
        || !json["slots"].isString()) {
        return std::nullopt;
    }
    EpochTable table{.epoch = json["epoch"].asUInt64()};
    for (const Json::Value &member : json["members"]) {
        const auto wireId = member.isString() ? valueOfHex(member.asString()) : std::nullopt;
        if (!wireId) {
            return std::nullopt;
        }
        table.members.push_back(*wireId);
    }
    table.slots = slotsOf(store::decodeBase64(json["slots"].asString()).value_or(""));
    const bool isInside = std::ranges::all_of(
        table.slots, [&table](std::uint16_t slot) { return slot < table.members.size(); });
    if (!isInside || table.members.empty() != table.slots.empty()
        || (!table.slots.empty() && !std::has_single_bit(table.slots.size()))) {
        return std::nullopt;
    }
    return table;
}

Json::Value memberJson(const EpochMember &member)
{
    Json::Value json(Json::objectValue);
    json["name"] = member.name.str();
    json["dataCentre"] = member.dataCentre.str();
    json["tunnel"] = net::endpointText(member.tunnel);
    return json;
}

bool readMembers(const Json::Value &json, EpochDocument &document)
{
    if (!json.isObject()) {
        return false;
    }
    for (const std::string &key : json.getMemberNames()) {
        const Json::Value &item = json[key];
        const auto wireId = valueOfHex(key);
        if (!wireId || !item.isObject() || !item["name"].isString()
            || !item["dataCentre"].isString() || !item["tunnel"].isString()) {
            return false;
        }
        const auto tunnel = net::parseEndpoint(item["tunnel"].asString());
        if (!tunnel) {
            return false;
        }
        document.members[*wireId] = {UpstreamName(item["name"].asString()),
                                     DataCentreName(item["dataCentre"].asString()), *tunnel};
    }
    return true;
}

bool namesAllMembers(const EpochDocument &document)
{
    return std::ranges::all_of(document.tables, [&document](const EpochTable &table) {
        return std::ranges::all_of(table.members, [&document](std::uint64_t wireId) {
            return document.members.contains(wireId);
        });
    });
}
}

std::string EpochCodec::encode(const EpochDocument &document) const
{
    Json::Value json(Json::objectValue);
    json["newestActive"] = document.newestActive;
    json["tables"] = Json::Value(Json::arrayValue);
    for (const EpochTable &table : document.tables) {
        Json::Value item(Json::objectValue);
        item["epoch"] = static_cast<Json::UInt64>(table.epoch);
        item["members"] = Json::Value(Json::arrayValue);
        for (const std::uint64_t member : table.members) {
            item["members"].append(hexOf(member));
        }
        item["slots"] = store::encodeBase64(slotBytes(table.slots));
        json["tables"].append(item);
    }
    json["members"] = Json::Value(Json::objectValue);
    for (const auto &[wireId, member] : document.members) {
        json["members"][hexOf(wireId)] = memberJson(member);
    }
    return settings::jsonText(json);
}

std::optional<EpochDocument> EpochCodec::decode(const std::string &text)
{
    this->reason = {};
    const auto json = settings::parseJson(text, "epoch document", this->reason);
    if (!json) {
        return std::nullopt;
    }
    if (!json->isObject() || !(*json)["newestActive"].isBool() || !(*json)["tables"].isArray()
        || (*json)["tables"].empty()) {
        this->reason = {ResultCode::FieldType, "epoch document: newestActive or tables is wrong"};
        return std::nullopt;
    }
    EpochDocument document{.newestActive = (*json)["newestActive"].asBool()};
    for (const Json::Value &item : (*json)["tables"]) {
        auto table = tableOf(item);
        if (!table || (!document.tables.empty() && document.tables.back().epoch >= table->epoch)) {
            this->reason = {ResultCode::FieldRange,
                            "epoch document: table " + std::to_string(document.tables.size())
                                + " is invalid"};
            return std::nullopt;
        }
        document.tables.push_back(std::move(*table));
    }
    if (!readMembers((*json)["members"], document) || !namesAllMembers(document)) {
        this->reason = {ResultCode::FieldRange, "epoch document: members do not fit the tables"};
        return std::nullopt;
    }
    return document;
}
}
