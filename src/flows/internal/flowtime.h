#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

//! Compact time in eighths of a second; differences hold over two years.
using FlowTime = std::uint32_t;

inline constexpr std::uint32_t kFlowTimeBits = 29;
inline constexpr FlowTime kFlowTimeMask = (1U << kFlowTimeBits) - 1;

using FlowTicks = std::chrono::duration<std::int64_t, std::ratio<1, 8>>;

inline FlowTime toFlowTime(std::chrono::steady_clock::time_point time)
{
    const auto ticks = std::chrono::duration_cast<FlowTicks>(time.time_since_epoch());
    return static_cast<FlowTime>(ticks.count()) & kFlowTimeMask;
}

//! Time from \a then to \a now.
inline std::chrono::milliseconds flowAge(FlowTime now, FlowTime then)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        FlowTicks((now - then) & kFlowTimeMask));
}
}
