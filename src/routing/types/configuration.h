#pragma once

#include "global/name.h"
#include "routing/types/route.h"
#include "routing/types/servicelimits.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace radishladder::routing {

//! The operators' configuration, validated as a whole.
struct Configuration
{
    //! Increases with each change, possibly by more than 1.
    std::uint64_t version = 0;

    std::vector<Route> routes;
    std::unordered_map<ServiceName, ServiceLimits> services;

    //! A flow without packets for this long counts as ended.
    std::chrono::milliseconds idleTimeout{15000};
};
}
