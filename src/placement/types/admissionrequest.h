#pragma once

#include "placement/types/loadestimate.h"

#include <chrono>
#include <cstdint>

namespace radishladder::placement {

//! What the admission of a SYN depends on.
struct AdmissionRequest
{
    //! Rank of the route's priority among the priorities of all routes to the service, 0 for the
    //! most important, and the number of these priorities.
    int rank = 0;
    int rankCount = 1;

    std::chrono::milliseconds targetLatency{0};

    //! Number of times that the SYN was sent before.
    std::uint32_t retransmissions = 0;

    std::uint32_t clientAddress = 0;

    //! Load of the service in the data centre of the selected upstream.
    LoadEstimate load;
};
}
