#include "standins/storedata.h"

#include "store/base64.h"

#include <charconv>

namespace radishladder::standins {
namespace {
std::string decoded(const Json::Value &value)
{
    return value.isString() ? store::decodeBase64(value.asString()).value_or("") : std::string();
}

std::int64_t integerOf(const Json::Value &value)
{
    const std::string text = value.isString() ? value.asString() : std::string();
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool isInside(const std::string &key, const std::string &first, const std::string &last)
{
    return last.empty() ? key == first : key >= first && key < last;
}
}

void StoreData::put(const std::string &key, const std::string &value)
{
    ++this->revision;
    this->putAtRevision(key, value, 0);
}

void StoreData::putAtRevision(const std::string &key, const std::string &value, std::int64_t lease)
{
    const Change change{key, value, this->revision, lease, false};
    this->entries[key] = change;
    this->history.push_back(change);
}

void StoreData::remove(const std::string &key)
{
    if (this->entries.erase(key) > 0) {
        this->history.push_back({key, "", this->revision, 0, true});
    }
}

Json::Value StoreData::header(std::int64_t atRevision) const
{
    Json::Value header(Json::objectValue);
    header["revision"] = std::to_string(atRevision);
    return header;
}

Json::Value StoreData::item(const Change &change)
{
    Json::Value item(Json::objectValue);
    item["key"] = store::encodeBase64(change.key);
    item["value"] = store::encodeBase64(change.value);
    item["mod_revision"] = std::to_string(change.revision);
    return item;
}

std::map<std::string, StoreData::Change> StoreData::entriesAt(std::int64_t asOf) const
{
    std::map<std::string, Change> past;
    for (const Change &change : this->history) {
        if (change.revision > asOf) {
            break;
        }
        if (change.removed) {
            past.erase(change.key);
        } else {
            past[change.key] = change;
        }
    }
    return past;
}

Json::Value StoreData::range(const Json::Value &body, std::optional<std::int64_t> asOf) const
{
    const std::string first = decoded(body["key"]);
    const std::string last = decoded(body["range_end"]);
    const auto past = asOf ? this->entriesAt(*asOf) : std::map<std::string, Change>();
    const auto &shown = asOf ? past : this->entries;
    Json::Value answer(Json::objectValue);
    answer["header"] = this->header(asOf.value_or(this->revision));
    for (auto entry = shown.lower_bound(first);
         entry != shown.end() && isInside(entry->first, first, last); ++entry) {
        answer["kvs"].append(item(entry->second));
    }
    return answer;
}

Json::Value StoreData::transaction(const Json::Value &body)
{
    bool holds = true;
    for (const Json::Value &compare : body["compare"]) {
        const auto found = this->entries.find(decoded(compare["key"]));
        const std::int64_t current = found == this->entries.end() ? 0 : found->second.revision;
        holds = holds && integerOf(compare["mod_revision"]) == current;
    }
    this->revision += holds && !body["success"].empty() ? 1 : 0;
    for (const Json::Value &operation : holds ? body["success"] : Json::Value()) {
        if (operation.isMember("request_put")) {
            const Json::Value &put = operation["request_put"];
            this->putAtRevision(decoded(put["key"]), decoded(put["value"]),
                                integerOf(put["lease"]));
        } else {
            this->remove(decoded(operation["request_delete_range"]["key"]));
        }
    }
    Json::Value answer(Json::objectValue);
    answer["header"] = this->header(this->revision);
    answer["succeeded"] = holds;
    return answer;
}

Json::Value StoreData::grantLease(const Json::Value &body)
{
    this->leaseSeconds[++this->lastLease] = integerOf(body["TTL"]);
    Json::Value answer(Json::objectValue);
    answer["ID"] = std::to_string(this->lastLease);
    answer["TTL"] = body["TTL"];
    return answer;
}

Json::Value StoreData::keepLeaseAlive(const Json::Value &body) const
{
    const auto found = this->leaseSeconds.find(integerOf(body["ID"]));
    Json::Value answer(Json::objectValue);
    answer["result"]["ID"] = body["ID"];
    if (found != this->leaseSeconds.end()) {
        answer["result"]["TTL"] = std::to_string(found->second);
    }
    return answer;
}

void StoreData::endLease(std::int64_t lease)
{
    this->leaseSeconds.erase(lease);
    std::vector<std::string> bound;
    for (const auto &[key, entry] : this->entries) {
        if (entry.lease == lease) {
            bound.push_back(key);
        }
    }
    this->revision += bound.empty() ? 0 : 1;
    for (const std::string &key : bound) {
        this->remove(key);
    }
}

void StoreData::endAllLeases()
{
    const auto ended = this->leaseSeconds;
    for (const auto &[lease, seconds] : ended) {
        this->endLease(lease);
    }
}

std::optional<Json::Value> StoreData::events(const Json::Value &createRequest) const
{
    const std::string first = decoded(createRequest["key"]);
    const std::string last = decoded(createRequest["range_end"]);
    const std::int64_t from = integerOf(createRequest["start_revision"]);
    Json::Value answer(Json::objectValue);
    Json::Value &result = answer["result"];
    result["header"] = this->header(this->revision);
    if (from < this->compacted) {
        result["canceled"] = true;
        result["compact_revision"] = std::to_string(this->compacted);
        return answer;
    }
    for (const Change &change : this->history) {
        if (change.revision < from || !isInside(change.key, first, last)) {
            continue;
        }
        Json::Value event(Json::objectValue);
        event["kv"] = item(change);
        if (change.removed) {
            event["type"] = "DELETE";
        }
        result["events"].append(event);
    }
    return result.isMember("events") ? std::make_optional(answer) : std::nullopt;
}
}
