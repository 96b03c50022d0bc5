#pragma once

#include <chrono>
#include <optional>

namespace radishladder::placement {

//! Load of a service in a data centre, estimated from the flows of this VM.
struct LoadEstimate
{
    //! Mean response time by Little's law; while there are too few responses, the time since the
    //! last one for which requests have waited.
    std::chrono::milliseconds responseTime{0};

    //! False if too few responses arrived lately for a mean.
    bool hasResponses = false;

    //! Mean of the recent response times, however few; 0 if there are none.
    std::chrono::milliseconds measuredTime{0};

    //! Own requests in flight and responses per second, both smoothed.
    double requestsInFlight = 0;
    double responsesPerSecond = 0;

    //! Time since the last response that the estimate includes.
    std::chrono::milliseconds age{0};

    //! Requests in flight per slot, assuming that each VM has as many as this one.
    double requestsPerSlot = 0;
};

//! Returns how close the load is to the highest that meets \a targetLatency: from 1 on requests
//! wait too long, at 2 even the mean response time misses the target. Returns std::nullopt while
//! the load is unknown.
std::optional<double> pressure(const LoadEstimate &load, std::chrono::milliseconds targetLatency);

//! Returns the pressure of a data centre that gets only a few flows of this VM; a single recent
//! response suffices.
std::optional<double> pressureOfFewFlows(const LoadEstimate &load,
                                         std::chrono::milliseconds targetLatency);
}
