#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::evidence {

//! Another VM's report that an upstream is silent, in the time of this VM.
struct Witness
{
    using TimePoint = std::chrono::steady_clock::time_point;

    std::uint64_t sender = 0;
    int silentFlows = 0;
    TimePoint since;
    TimePoint lastRetransmission;
    TimePoint receivedAt;
};
}
