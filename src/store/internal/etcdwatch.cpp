#include "store/internal/etcdwatch.h"

#include "settings/jsonfile.h"
#include "store/internal/etcdjson.h"
#include "store/types/storedvalue.h"

namespace radishladder::store {
namespace {
std::vector<StoredValue> eventsOf(const Json::Value &events)
{
    std::vector<StoredValue> values;
    for (const Json::Value &event : events) {
        if (!event.isObject()) {
            continue;
        }
        values.push_back(etcdStoredValue(event["kv"]));
        values.back().removed = event["type"].isString() && event["type"].asString() == "DELETE";
    }
    return values;
}
}

EtcdWatch::EtcdWatch(IConfigStore::WatchHandler handler) : handler(std::move(handler)) { }

void EtcdWatch::take(std::string_view piece)
{
    this->pending.append(piece);
    for (auto end = this->pending.find('\n'); end != std::string::npos && !this->ended;
         end = this->pending.find('\n')) {
        const std::string line = this->pending.substr(0, end);
        this->pending.erase(0, end + 1);
        this->takeLine(line);
    }
}

void EtcdWatch::end(Reason reason)
{
    if (this->ended) {
        return;
    }
    // The last line of an answer that ended may lack its line break.
    if (!this->pending.empty()) {
        this->take("\n");
    }
    if (this->ended) {
        return;
    }
    this->ended = true;
    if (reason.code == ResultCode::Ok || reason.code == ResultCode::StoreAnswerLost) {
        reason = {ResultCode::StoreUnreachable, "watch ended"};
    }
    this->handler({}, reason);
}

void EtcdWatch::takeLine(const std::string &line)
{
    if (line.empty()) {
        return;
    }
    Reason reason;
    const auto json = settings::parseJson(line, "watch event", reason);
    if (!json || !json->isObject() || !(*json)["result"].isObject()) {
        this->ended = true;
        this->handler({}, {ResultCode::StoreAnswerInvalid, "watch event: " + line});
        return;
    }
    const Json::Value &result = (*json)["result"];
    const std::vector<StoredValue> events = eventsOf(result["events"]);
    if (!events.empty()) {
        this->handler(events, {});
    }
    const std::int64_t compacted = etcdInteger(result["compact_revision"]);
    if (compacted > 0) {
        this->ended = true;
        this->handler({}, {ResultCode::StoreWatchCompacted, std::to_string(compacted)});
    } else if (result["canceled"].isBool() && result["canceled"].asBool()) {
        this->ended = true;
        this->handler({}, {ResultCode::StoreUnreachable, "watch cancelled by the store"});
    }
}
}
