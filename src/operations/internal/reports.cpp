#include "operations/reports.h"

#include "settings/jsonfile.h"

#include <algorithm>
#include <json/value.h>
#include <optional>
#include <sstream>

namespace radishladder::operations {
namespace {
std::optional<Json::Value> parseBody(const VmResponse &response)
{
    Reason reason;
    return response.status == 200 ? settings::parseJson(response.body, "vm", reason) : std::nullopt;
}

void appendFailure(std::ostringstream &out, const VmResponse &response)
{
    out << net::endpointText(response.vm) << "  ";
    if (response.status == 0) {
        out << "gives no answer\n";
    } else {
        out << "answers " << response.status << ": " << response.body << '\n';
    }
}

std::string joinNames(const Json::Value &names)
{
    std::string text;
    for (const Json::Value &name : names) {
        text.append(text.empty() ? "" : ",").append(name.asString());
    }
    return text.empty() ? "-" : text;
}

std::uint64_t newestConfigurationVersion(const std::vector<VmResponse> &responses)
{
    std::uint64_t newestVersion = 0;
    for (const VmResponse &response : responses) {
        if (const auto json = parseBody(response)) {
            newestVersion =
                std::max<std::uint64_t>(newestVersion, (*json)["configuration"].asUInt64());
        }
    }
    return newestVersion;
}

std::string formatUpstream(const Json::Value &upstream)
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

std::string statusReport(const std::vector<VmResponse> &responses)
{
    const std::uint64_t newestVersion = newestConfigurationVersion(responses);
    std::ostringstream out;
    for (const VmResponse &response : responses) {
        const auto json = parseBody(response);
        if (!json) {
            appendFailure(out, response);
            continue;
        }
        const std::uint64_t version = (*json)["configuration"].asUInt64();
        out << (*json)["vm"].asString() << "  " << (*json)["dataCentre"].asString()
            << "  configuration " << version << (version < newestVersion ? " BEHIND" : "")
            << "  routes " << (*json)["routes"].asUInt64() << "  flows "
            << (*json)["flows"].asUInt64() << "  vms " << (*json)["vms"].size() << "  out "
            << joinNames((*json)["out"]) << ((*json)["automaticActions"].asBool() ? "" : "  FROZEN")
            << '\n';
    }
    return out.str();
}

std::string upstreamsReport(const std::vector<VmResponse> &responses)
{
    std::ostringstream out;
    for (const VmResponse &response : responses) {
        const auto json = parseBody(response);
        if (!json) {
            appendFailure(out, response);
            continue;
        }
        out << net::endpointText(response.vm) << '\n';
        for (const Json::Value &upstream : *json) {
            out << formatUpstream(upstream) << '\n';
        }
    }
    return out.str();
}

std::string flowReport(const std::vector<VmResponse> &responses)
{
    std::ostringstream out;
    for (const VmResponse &response : responses) {
        if (const auto json = parseBody(response)) {
            out << net::endpointText(response.vm) << "  " << settings::jsonText(*json) << '\n';
        } else {
            appendFailure(out, response);
        }
    }
    return out.str();
}

std::string timelineReport(const std::vector<VmResponse> &responses)
{
    std::vector<std::pair<std::int64_t, std::string>> events;
    std::ostringstream out;
    for (const VmResponse &response : responses) {
        const auto json = parseBody(response);
        if (!json) {
            appendFailure(out, response);
            continue;
        }
        for (const Json::Value &event : *json) {
            events.emplace_back(event["time_ms"].asInt64(),
                                net::endpointText(response.vm) + "  " + settings::jsonText(event));
        }
    }
    std::ranges::stable_sort(events, {}, &std::pair<std::int64_t, std::string>::first);
    for (const auto &[time, line] : events) {
        out << line << '\n';
    }
    return out.str();
}
}
