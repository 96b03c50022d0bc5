#include "operations/reports.h"

#include "settings/jsonfile.h"

#include <algorithm>
#include <json/value.h>
#include <optional>
#include <sstream>

namespace radishladder::operations {
namespace {
std::optional<Json::Value> jsonOf(const VmAnswer &answer)
{
    Reason reason;
    return answer.status == 200 ? settings::parseJson(answer.body, "vm", reason) : std::nullopt;
}

void reportMissing(std::ostringstream &out, const VmAnswer &answer)
{
    out << net::endpointText(answer.vm) << "  ";
    if (answer.status == 0) {
        out << "gives no answer\n";
    } else {
        out << "answers " << answer.status << ": " << answer.body << '\n';
    }
}

std::string joined(const Json::Value &names)
{
    std::string text;
    for (const Json::Value &name : names) {
        text.append(text.empty() ? "" : ",").append(name.asString());
    }
    return text.empty() ? "-" : text;
}

std::uint64_t newestConfiguration(const std::vector<VmAnswer> &answers)
{
    std::uint64_t newest = 0;
    for (const VmAnswer &answer : answers) {
        if (const auto json = jsonOf(answer)) {
            newest = std::max<std::uint64_t>(newest, (*json)["configuration"].asUInt64());
        }
    }
    return newest;
}

std::string upstreamLine(const Json::Value &upstream)
{
    std::ostringstream line;
    line << "  " << upstream["upstream"].asString() << "  " << upstream["service"].asString()
         << "  " << upstream["dataCentre"].asString() << "  " << upstream["address"].asString()
         << "  " << upstream["presence"].asString()
         << (upstream["draining"].asBool() ? ",draining" : "")
         << (upstream["cold"].asBool() ? ",cold" : "") << "  flows "
         << upstream["openFlows"].asInt() << "  busy " << upstream["busyFlows"].asInt()
         << "  silent " << upstream["silentFlows"].asInt() << "  entry "
         << upstream["entryAgeMs"].asInt64() << " ms  answer " << upstream["answerAgeMs"].asInt64()
         << " ms";
    return line.str();
}
}

std::string statusReport(const std::vector<VmAnswer> &answers)
{
    const std::uint64_t newest = newestConfiguration(answers);
    std::ostringstream out;
    for (const VmAnswer &answer : answers) {
        const auto json = jsonOf(answer);
        if (!json) {
            reportMissing(out, answer);
            continue;
        }
        const std::uint64_t version = (*json)["configuration"].asUInt64();
        out << (*json)["vm"].asString() << "  " << (*json)["dataCentre"].asString()
            << "  configuration " << version << (version < newest ? " BEHIND" : "") << "  routes "
            << (*json)["routes"].asUInt64() << "  flows " << (*json)["flows"].asUInt64() << "  vms "
            << (*json)["vms"].size() << "  out " << joined((*json)["out"])
            << ((*json)["automaticActions"].asBool() ? "" : "  FROZEN") << '\n';
    }
    return out.str();
}

std::string upstreamsReport(const std::vector<VmAnswer> &answers)
{
    std::ostringstream out;
    for (const VmAnswer &answer : answers) {
        const auto json = jsonOf(answer);
        if (!json) {
            reportMissing(out, answer);
            continue;
        }
        out << net::endpointText(answer.vm) << '\n';
        for (const Json::Value &upstream : *json) {
            out << upstreamLine(upstream) << '\n';
        }
    }
    return out.str();
}

std::string flowReport(const std::vector<VmAnswer> &answers)
{
    std::ostringstream out;
    for (const VmAnswer &answer : answers) {
        if (const auto json = jsonOf(answer)) {
            out << net::endpointText(answer.vm) << "  " << settings::jsonText(*json) << '\n';
        } else {
            reportMissing(out, answer);
        }
    }
    return out.str();
}

std::string timeLineReport(const std::vector<VmAnswer> &answers)
{
    std::vector<std::pair<std::int64_t, std::string>> events;
    std::ostringstream out;
    for (const VmAnswer &answer : answers) {
        const auto json = jsonOf(answer);
        if (!json) {
            reportMissing(out, answer);
            continue;
        }
        for (const Json::Value &event : *json) {
            events.emplace_back(event["time_ms"].asInt64(),
                                net::endpointText(answer.vm) + "  " + settings::jsonText(event));
        }
    }
    std::ranges::stable_sort(events, {}, &std::pair<std::int64_t, std::string>::first);
    for (const auto &[time, line] : events) {
        out << line << '\n';
    }
    return out.str();
}
}
