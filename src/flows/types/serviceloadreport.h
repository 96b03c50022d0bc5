#pragma once

#include "global/name.h"
#include "placement/types/loadestimate.h"

#include <chrono>
#include <optional>

namespace radishladder::flows {

//! Load of a service with ranked routes in a data centre, for metrics.
struct ServiceLoadReport
{
    ServiceName service;
    DataCentreName dataCentre;
    placement::LoadEstimate load;

    //! Pressure by the lowest target latency of the service; std::nullopt while it is unknown.
    std::optional<double> pressure;

    //! The same, but known after a single recent response.
    std::optional<double> pressureOfFewFlows;

    //! Slots of the upstreams that can be given new flows.
    int slots = 0;

    //! When the newest silence of an upstream began, if no upstream of the data centre has
    //! responded to this VM since.
    std::optional<std::chrono::steady_clock::time_point> silentSince;
};
}
