#pragma once

#include "global/name.h"
#include "routing/types/route.h"
#include "routing/types/servicelimits.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace radishladder::routing {

//! The operators' configuration, checked as a whole.
struct Configuration
{
    //! Grows with each change, in uneven steps.
    std::uint64_t version = 0;

    std::vector<Route> routes;
    std::unordered_map<ServiceName, ServiceLimits> services;

    //! A flow without packets for this long has ended.
    std::chrono::milliseconds idleTimeout{15000};
};
}
