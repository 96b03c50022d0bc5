#include "operations/operatorcommands.h"

#include "operations/callcodec.h"
#include "operations/changehistorycodec.h"
#include "operations/internal/commandoutput.h"
#include "operations/ioperatorbackend.h"
#include "operations/timelineformat.h"
#include "operations/types/explanation.h"
#include "operations/types/storedconfiguration.h"
#include "operations/types/vmaddress.h"
#include "operations/types/vmanswer.h"
#include "operations/types/vmstatus.h"
#include "telemetry/types/event.h"

#include <absl/strings/str_format.h>
#include <absl/time/time.h>

namespace radishladder::operations {
namespace {
std::string statusLine(const VmStatus &status)
{
    int ready = 0;
    for (const UpstreamStatus &upstream : status.upstreams) {
        ready += upstream.state == "ready" ? 1 : 0;
    }
    return absl::StrFormat("%s %s generation=%d %s%supstreams=%d/%d ready", status.vm.str(),
                           status.dataCentre.str(), status.generation,
                           status.confident ? "" : "NOT-CONFIDENT ", status.freeze ? "FROZEN " : "",
                           ready, status.upstreams.size());
}

void noteSilent(const std::vector<std::string> &silent, CommandResult &result)
{
    result.json["unreachable"] = namesJson(silent);
    if (!silent.empty()) {
        result.lines.push_back("806 VmUnreachable: " + joined(silent));
        result.code = ResultCode::VmUnreachable;
    }
}
}

CommandResult OperatorCommands::history()
{
    Reason reason;
    const auto stored = this->backend.readStored(reason);
    if (!stored) {
        return failed(reason);
    }
    CommandResult result;
    result.json["changes"] = Json::Value(Json::arrayValue);
    for (const ChangeRecord &change : stored->history.changes) {
        result.json["changes"].append(changeJson(change));
        const auto time = absl::FormatTime(
            "%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(change.time.time_since_epoch().count()),
            absl::UTCTimeZone());
        result.lines.push_back(absl::StrFormat("%d %s %s %s: %s", change.generation, time,
                                               change.changeId, change.operatorName,
                                               change.summary));
    }
    return result;
}

CommandResult OperatorCommands::status()
{
    Reason reason;
    const auto vms = this->backend.vms(reason);
    if (!vms) {
        return failed(reason);
    }
    CommandResult result;
    std::vector<std::string> silent;
    result.json["vms"] = Json::Value(Json::arrayValue);
    for (const VmAnswer &answer : this->backend.callAll(*vms, "status", Json::objectValue)) {
        const auto status = answer.result ? readStatus(*answer.result, reason) : std::nullopt;
        if (!status) {
            silent.push_back(answer.vm.str());
            continue;
        }
        result.json["vms"].append(statusJson(*status));
        result.lines.push_back(statusLine(*status));
    }
    noteSilent(silent, result);
    return result;
}

CommandResult OperatorCommands::explain()
{
    ExplainQuestion question{.service = ServiceName(this->options.service),
                             .caller = net::parseEndpoint(this->options.caller),
                             .key = this->options.key};
    if (question.service.isEmpty() || question.caller.has_value() != question.key.empty()) {
        return failed({ResultCode::BadUsage,
                       "explain needs --service and either --caller ADDRESS:PORT or --key"});
    }
    Reason reason;
    const auto vms = this->backend.vms(reason);
    if (!vms) {
        return failed(reason);
    }
    CommandResult result;
    std::vector<std::string> silent;
    result.json["answers"] = Json::Value(Json::arrayValue);
    for (const VmAnswer &answer : this->backend.callAll(*vms, "explain", questionJson(question))) {
        if (!answer.result) {
            silent.push_back(answer.vm.str());
            continue;
        }
        const Json::Value &error = (*answer.result)["error"];
        if (error.isObject()) {
            return failed({static_cast<ResultCode>(error["code"].asInt()),
                           answer.vm.str() + ": " + error["detail"].asString()});
        }
        const auto explanation = readExplanation(*answer.result, reason);
        if (!explanation) {
            silent.push_back(answer.vm.str());
            continue;
        }
        Json::Value json = explanationJson(*explanation);
        json["vm"] = answer.vm.str();
        result.json["answers"].append(json);
        const std::string upstream =
            explanation->upstream.isEmpty() ? "(none)" : explanation->upstream.str();
        result.lines.push_back(answer.vm.str() + ": " + upstream + ", home "
                               + explanation->home.str() + ": " + explanation->why);
    }
    noteSilent(silent, result);
    return result;
}

CommandResult OperatorCommands::timeLine()
{
    Reason reason;
    const auto vms = this->backend.vms(reason);
    if (!vms) {
        return failed(reason);
    }
    CommandResult result;
    std::vector<std::string> silent;
    std::vector<telemetry::Event> events;
    for (const VmAnswer &answer : this->backend.callAll(*vms, "timeline", Json::objectValue)) {
        if (!answer.result || !answer.result->isArray()) {
            silent.push_back(answer.vm.str());
            continue;
        }
        for (const Json::Value &item : *answer.result) {
            auto event = readEvent(item, reason);
            if (event) {
                events.push_back(std::move(*event));
            }
        }
    }
    events = mergedEvents(std::move(events));
    if (this->options.timeLineFormat == "chrome") {
        result.json = chromeTrace(events);
    } else {
        result.json["events"] = Json::Value(Json::arrayValue);
        for (const telemetry::Event &event : events) {
            result.json["events"].append(eventJson(event));
            result.lines.push_back(eventLine(event));
        }
    }
    noteSilent(silent, result);
    return result;
}
}
