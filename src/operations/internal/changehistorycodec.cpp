#include "operations/changehistorycodec.h"

#include "operations/types/changehistory.h"
#include "settings/fieldreader.h"
#include "settings/jsonfile.h"

#include <limits>

namespace radishladder::operations {
namespace {
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
}

Json::Value changeJson(const ChangeRecord &change)
{
    Json::Value json(Json::objectValue);
    json["generation"] = static_cast<Json::UInt64>(change.generation);
    json["changeId"] = change.changeId;
    json["operator"] = change.operatorName;
    json["timeMs"] = static_cast<Json::Int64>(change.time.time_since_epoch().count());
    json["summary"] = change.summary;
    return json;
}

std::string historyText(const ChangeHistory &history)
{
    Json::Value json(Json::objectValue);
    json["changes"] = Json::Value(Json::arrayValue);
    for (const ChangeRecord &change : history.changes) {
        json["changes"].append(changeJson(change));
    }
    json["parts"] = Json::Value(Json::arrayValue);
    for (const auto &digests : history.parts) {
        Json::Value list(Json::arrayValue);
        for (const std::string &digest : digests) {
            list.append(digest);
        }
        json["parts"].append(list);
    }
    return settings::jsonText(json);
}

std::optional<ChangeHistory> readHistory(const std::string &text, Reason &reason)
{
    reason = {};
    const auto json = settings::parseJson(text, "history", reason);
    if (!json) {
        return std::nullopt;
    }
    settings::FieldReader reader(*json, "", reason);
    ChangeHistory history;
    for (const Json::Value &item : reader.array("changes", true)) {
        settings::FieldReader change(item, "/changes", reason);
        ChangeRecord record;
        record.generation =
            static_cast<std::uint64_t>(change.integer("generation", 0, kMaxInteger));
        record.changeId = change.text("changeId");
        record.operatorName = change.emptyableText("operator");
        record.time = std::chrono::sys_time<std::chrono::milliseconds>(
            std::chrono::milliseconds(change.integer("timeMs", 0, kMaxInteger)));
        record.summary = change.emptyableText("summary");
        history.changes.push_back(record);
    }
    for (const Json::Value &list : reader.array("parts", true)) {
        auto &digests = history.parts.emplace_back();
        for (const Json::Value &digest : list) {
            digests.push_back(digest.isString() ? digest.asString() : std::string());
        }
    }
    return reader.isOk() ? std::make_optional(history) : std::nullopt;
}
}
