#pragma once

#include <chrono>
#include <vector>

namespace radishladder::routing {

//! A service whose routes differ in priority and all have a target latency.
struct RankedService
{
    //! Distinct priorities of its routes in ascending order; the index of a priority is its rank.
    std::vector<int> priorities;

    //! Lowest target latency of its routes.
    std::chrono::milliseconds targetLatency{0};

    int rankOf(int priority) const;
};
}
