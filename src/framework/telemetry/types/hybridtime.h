#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace radishladder::telemetry {

//! Hybrid logical time: calendar time that never falls behind a cause, and a counter within it.
struct HybridTime
{
    std::chrono::sys_time<std::chrono::microseconds> wall{};
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};
}
