#pragma once

#include "global/resultcode.h"

#include <cstdint>
#include <map>

namespace radishladder::telemetry {
class ICounter;
class IHistogram;
class IMetrics;
}

namespace radishladder::flows {
struct FlowDecision;
}

namespace radishladder::app {

//! Counts packets by what became of them.
class PacketCounters
{
public:
    explicit PacketCounters(telemetry::IMetrics &metrics);

    void count(const flows::FlowDecision &decision);
    void countMalformed();
    void countBytes(std::size_t bytes);

private:
    telemetry::IMetrics &metrics;
    telemetry::ICounter &forwarded;
    telemetry::ICounter &placed;
    telemetry::ICounter &replaced;
    telemetry::ICounter &malformed;
    telemetry::ICounter &bytes;
    telemetry::IHistogram &opening;
    telemetry::IHistogram &answer;
    std::map<ResultCode, telemetry::ICounter *> resets;
    std::map<ResultCode, telemetry::ICounter *> drops;
};
}
