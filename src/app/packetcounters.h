#pragma once

#include "global/name.h"
#include "global/resultcode.h"

#include <cstdint>
#include <map>
#include <utility>

namespace radishladder::telemetry {
class ICounter;
class IHistogram;
class IMetrics;
}

namespace radishladder::flows {
struct FlowDecision;
}

namespace radishladder::placement {
enum class AdmissionResult : std::uint8_t;
struct AdmissionDecision;
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
    void countSpilled(const DataCentreName &dataCentre);
    void countRefusal(const placement::AdmissionDecision &admission);

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
    std::map<std::pair<placement::AdmissionResult, int>, telemetry::ICounter *> refusals;
    std::map<DataCentreName, telemetry::ICounter *> spilled;
};
}
