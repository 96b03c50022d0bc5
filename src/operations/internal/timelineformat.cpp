#include "operations/timelineformat.h"

#include "operations/callcodec.h"
#include "telemetry/statelog.h"
#include "telemetry/types/event.h"

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <algorithm>
#include <map>

namespace radishladder::operations {
namespace {
Json::Value nameRecord(const std::string &what, int process, int thread, const std::string &name)
{
    Json::Value record(Json::objectValue);
    record["ph"] = "M";
    record["name"] = what;
    record["pid"] = process;
    record["tid"] = thread;
    record["args"]["name"] = name;
    return record;
}
}

std::vector<telemetry::Event> mergedEvents(std::vector<telemetry::Event> events)
{
    // Events of one VM with equal times do not occur, so the order is the same for every reader.
    std::ranges::stable_sort(
        events, [](const telemetry::Event &left, const telemetry::Event &right) {
            return left.time != right.time ? left.time < right.time : left.vm < right.vm;
        });
    return events;
}

std::string eventLine(const telemetry::Event &event)
{
    const auto time = absl::FromChrono(
        std::chrono::time_point_cast<std::chrono::system_clock::duration>(event.time.wall));
    return absl::StrFormat("%s.%u %s",
                           absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", time, absl::UTCTimeZone()),
                           event.time.counter, telemetry::stateChangeLine(event));
}

Json::Value chromeTrace(const std::vector<telemetry::Event> &events)
{
    Json::Value trace(Json::objectValue);
    Json::Value &records = trace["traceEvents"] = Json::Value(Json::arrayValue);
    std::map<std::string, int> processes;
    std::map<std::string, int> threads;
    for (const telemetry::Event &event : events) {
        const auto [process, isNewProcess] =
            processes.emplace(event.dataCentre.str(), static_cast<int>(processes.size()) + 1);
        const auto [thread, isNewThread] =
            threads.emplace(event.vm.str(), static_cast<int>(threads.size()) + 1);
        if (isNewProcess) {
            records.append(nameRecord("process_name", process->second, 0, process->first));
        }
        if (isNewThread) {
            records.append(
                nameRecord("thread_name", process->second, thread->second, thread->first));
        }
        Json::Value record(Json::objectValue);
        record["ph"] = "i";
        record["s"] = "t";
        record["name"] = event.kind;
        record["cat"] = event.service.isEmpty() ? "vm" : event.service.str();
        record["ts"] = static_cast<Json::Int64>(event.time.wall.time_since_epoch().count());
        record["pid"] = process->second;
        record["tid"] = thread->second;
        record["args"] = eventJson(event);
        records.append(record);
    }
    return trace;
}
}
