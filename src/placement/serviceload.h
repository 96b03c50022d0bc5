#pragma once

#include "global/name.h"
#include "placement/types/loadestimate.h"

#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace radishladder::placement {
struct LoadSample;

//! Measures the load of each service in each data centre from the flows of this VM alone; does no
//! I/O and reads no clock.
//!
//! Load pattern: demand exceeds the slots of a service for some seconds. Requests then wait in the
//! queues of upstreams, which this VM can't see; by Little's law its requests in flight divided by
//! its responses per second are the mean response time.
class ServiceLoad
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Returns true if the last sample of \a service is so old that a new one changes the estimate.
    bool needsSample(const ServiceName &service, TimePoint now) const;
    void recordSample(const ServiceName &service, const DataCentreName &dataCentre,
                      const LoadSample &sample, TimePoint now);

    void recordResponse(const ServiceName &service, const DataCentreName &dataCentre,
                        std::chrono::milliseconds responseTime, TimePoint now);

    LoadEstimate estimate(const ServiceName &service, const DataCentreName &dataCentre,
                          TimePoint now) const;

private:
    struct State
    {
        //! Requests in flight, smoothed over a longer and a shorter time, and when they were last
        //! sampled. The lesser one counts.
        double requestsInFlight = 0;
        double latestRequestsInFlight = 0;
        std::optional<TimePoint> sampledAt;

        //! Smoothed responses per second, and the sum of their response times in seconds, at the
        //! time of the last response.
        double responsesPerSecond = 0;
        double responseSeconds = 0;
        TimePoint respondedAt;

        //! Since when requests have been in flight without a response; std::nullopt if none is.
        std::optional<TimePoint> waitingSince;

        double membersPerSlot = 0;
    };

    std::map<std::pair<ServiceName, DataCentreName>, State> states;
};
}
