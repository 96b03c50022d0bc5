#include "radishbench/runrecorder.h"

#include "settings/jsonfile.h"

#include <fstream>

namespace radishladder::radishbench {
void RunRecorder::sample(const Totals &totals)
{
    this->bins.push_back({totals.answeredRequests - this->last.answeredRequests,
                          totals.sentRequests - this->last.sentRequests,
                          totals.answeredPackets - this->last.answeredPackets,
                          totals.lostFlows - this->last.lostFlows});
    this->last = totals;
}

void RunRecorder::note(TimePoint at, const std::string &event, const std::string &subject)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(at - this->start);
    this->events.push_back({since, event, subject});
}

Json::Value RunRecorder::seriesJson() const
{
    Json::Value series(Json::objectValue);
    series["bin_ms"] = static_cast<Json::Int64>(kBin.count());
    for (const char *name :
         {"answered_requests", "sent_requests", "answered_packets", "lost_flows", "events"}) {
        series[name] = Json::Value(Json::arrayValue);
    }
    for (const Totals &bin : this->bins) {
        series["answered_requests"].append(static_cast<Json::UInt64>(bin.answeredRequests));
        series["sent_requests"].append(static_cast<Json::UInt64>(bin.sentRequests));
        series["answered_packets"].append(static_cast<Json::UInt64>(bin.answeredPackets));
        series["lost_flows"].append(static_cast<Json::UInt64>(bin.lostFlows));
    }
    for (const Event &event : this->events) {
        series["events"].append(eventJson(event));
    }
    return series;
}

bool RunRecorder::writeTrace(const std::string &file) const
{
    std::ofstream stream(file);
    for (const Event &event : this->events) {
        stream << settings::jsonText(eventJson(event)) << '\n';
    }
    return stream.good();
}

Json::Value RunRecorder::eventJson(const Event &event)
{
    Json::Value json(Json::objectValue);
    json["ms"] = static_cast<Json::Int64>(event.at.count());
    json["event"] = event.event;
    json["subject"] = event.subject;
    return json;
}
}
