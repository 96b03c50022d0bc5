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

//! Counts packets by the decision taken for each, and records the time to open a flow and the
//! response time of requests.
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
    telemetry::ICounter &placedAgain;
    telemetry::ICounter &malformed;
    telemetry::ICounter &bytes;
    telemetry::IHistogram &openingTime;
    telemetry::IHistogram &responseTime;
    std::map<ResultCode, telemetry::ICounter *> resets;
    std::map<ResultCode, telemetry::ICounter *> drops;
};
}
