#include "operations/callcodec.h"

#include "operations/types/explanation.h"
#include "operations/types/vmstatus.h"
#include "settings/fieldreader.h"
#include "telemetry/types/event.h"

#include <algorithm>
#include <limits>

namespace radishladder::operations {
namespace {
using settings::FieldReader;

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

std::int64_t count(FieldReader &reader, const std::string &field)
{
    return reader.integerOr(field, 0, kMaxInteger, 0);
}

Json::Value memberJson(const MemberStatus &member)
{
    Json::Value json(Json::objectValue);
    json["name"] = member.name.str();
    json["dataCentre"] = member.dataCentre.str();
    json["state"] = member.state;
    json["generation"] = static_cast<Json::UInt64>(member.generation);
    return json;
}

Json::Value upstreamJson(const UpstreamStatus &upstream)
{
    Json::Value json(Json::objectValue);
    json["name"] = upstream.name.str();
    json["service"] = upstream.service.str();
    json["state"] = upstream.state;
    return json;
}

std::optional<ResultCode> resultCodeOf(std::int64_t number)
{
    const auto codes = resultCodes();
    const auto found =
        std::ranges::find(codes, static_cast<ResultCode>(number), &ResultCodeInfo::code);
    return found == codes.end() ? std::nullopt : std::make_optional(found->code);
}
}

Json::Value statusJson(const VmStatus &status)
{
    Json::Value json(Json::objectValue);
    json["vm"] = status.vm.str();
    json["dataCentre"] = status.dataCentre.str();
    json["generation"] = static_cast<Json::UInt64>(status.generation);
    json["changeId"] = status.changeId;
    json["documentRevision"] = static_cast<Json::Int64>(status.documentRevision);
    json["confident"] = status.confident;
    json["freeze"] = status.freeze;
    json["members"] = Json::Value(Json::arrayValue);
    for (const MemberStatus &member : status.members) {
        json["members"].append(memberJson(member));
    }
    json["upstreams"] = Json::Value(Json::arrayValue);
    for (const UpstreamStatus &upstream : status.upstreams) {
        json["upstreams"].append(upstreamJson(upstream));
    }
    return json;
}

std::optional<VmStatus> readStatus(const Json::Value &json, Reason &reason)
{
    reason = {};
    FieldReader reader(json, "", reason);
    VmStatus status;
    status.vm = VmName(reader.text("vm"));
    status.dataCentre = DataCentreName(reader.text("dataCentre"));
    status.generation = static_cast<std::uint64_t>(count(reader, "generation"));
    status.changeId = reader.emptyableText("changeId");
    status.documentRevision = count(reader, "documentRevision");
    status.confident = reader.booleanOr("confident", false);
    status.freeze = reader.booleanOr("freeze", false);
    for (const Json::Value &item : reader.array("members", false)) {
        FieldReader member(item, "/members", reason);
        status.members.push_back({VmName(member.text("name")),
                                  DataCentreName(member.text("dataCentre")), member.text("state"),
                                  static_cast<std::uint64_t>(count(member, "generation"))});
    }
    for (const Json::Value &item : reader.array("upstreams", false)) {
        FieldReader upstream(item, "/upstreams", reason);
        status.upstreams.push_back({UpstreamName(upstream.text("name")),
                                    ServiceName(upstream.text("service")), upstream.text("state")});
    }
    return reader.isOk() ? std::make_optional(status) : std::nullopt;
}

Json::Value eventJson(const telemetry::Event &event)
{
    Json::Value json(Json::objectValue);
    json["timeUs"] = static_cast<Json::Int64>(event.time.wall.time_since_epoch().count());
    json["counter"] = event.time.counter;
    json["vm"] = event.vm.str();
    json["dataCentre"] = event.dataCentre.str();
    json["kind"] = event.kind;
    json["service"] = event.service.str();
    json["subject"] = event.subject;
    json["reason"] = static_cast<int>(event.reason);
    json["detail"] = event.detail;
    return json;
}

std::optional<telemetry::Event> readEvent(const Json::Value &json, Reason &reason)
{
    reason = {};
    FieldReader reader(json, "", reason);
    telemetry::Event event;
    const std::chrono::microseconds sinceEpoch(
        reader.integer("timeUs", std::numeric_limits<std::int64_t>::min(), kMaxInteger));
    event.time.wall = std::chrono::sys_time<std::chrono::microseconds>(sinceEpoch);
    event.time.counter = static_cast<std::uint32_t>(
        reader.integer("counter", 0, std::numeric_limits<std::uint32_t>::max()));
    event.vm = VmName(reader.emptyableText("vm"));
    event.dataCentre = DataCentreName(reader.emptyableText("dataCentre"));
    event.kind = reader.emptyableText("kind");
    event.service = ServiceName(reader.emptyableText("service"));
    event.subject = reader.emptyableText("subject");
    event.detail = reader.emptyableText("detail");
    const auto code = resultCodeOf(count(reader, "reason"));
    if (!code) {
        reader.fail(ResultCode::FieldRange, "reason", "is no result code");
    }
    event.reason = code.value_or(ResultCode::Ok);
    return reader.isOk() ? std::make_optional(event) : std::nullopt;
}

Json::Value explanationJson(const Explanation &explanation)
{
    Json::Value json(Json::objectValue);
    json["upstream"] = explanation.upstream.str();
    json["home"] = explanation.home.str();
    json["why"] = explanation.why;
    return json;
}

std::optional<Explanation> readExplanation(const Json::Value &json, Reason &reason)
{
    reason = {};
    FieldReader reader(json, "", reason);
    const Explanation explanation{UpstreamName(reader.emptyableText("upstream")),
                                  VmName(reader.emptyableText("home")),
                                  reader.emptyableText("why")};
    return reader.isOk() ? std::make_optional(explanation) : std::nullopt;
}

Json::Value questionJson(const ExplainQuestion &question)
{
    Json::Value json(Json::objectValue);
    json["service"] = question.service.str();
    if (question.caller) {
        json["caller"] = net::endpointText(*question.caller);
    } else {
        json["key"] = question.key;
    }
    return json;
}

std::optional<ExplainQuestion> readQuestion(const Json::Value &json, Reason &reason)
{
    reason = {};
    FieldReader reader(json, "", reason);
    ExplainQuestion question{.service = ServiceName(reader.text("service"))};
    if (json.isObject() && json.isMember("caller")) {
        question.caller = reader.endpoint("caller");
    } else {
        question.key = reader.text("key");
    }
    reader.rejectUnknownFields();
    return reader.isOk() ? std::make_optional(question) : std::nullopt;
}
}
