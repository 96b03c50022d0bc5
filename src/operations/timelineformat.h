#pragma once

#include <json/value.h>
#include <string>
#include <vector>

namespace radishladder::telemetry {
struct Event;
}

namespace radishladder::operations {

//! Sorts the events of several VMs by hybrid logical time, then by VM; causes precede effects.
std::vector<telemetry::Event> mergedEvents(std::vector<telemetry::Event> events);

//! One line for \a event, starting with its time in UTC.
std::string eventLine(const telemetry::Event &event);

//! Chrome trace event format: data centres as processes, VMs as threads, events as instants.
Json::Value chromeTrace(const std::vector<telemetry::Event> &events);
}
