#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace radishladder::membership {

inline constexpr std::chrono::milliseconds kHeartbeatPeriod{250};

//! An unanswered heartbeat is tried through other VMs after this time.
inline constexpr std::chrono::milliseconds kDirectTimeout{250};

//! A VM that answered neither directly nor through others is suspect after this time.
inline constexpr std::chrono::milliseconds kProbeTimeout{750};

//! A suspect VM has this time to refute; more in large fleets, where the refutation travels longer.
inline constexpr std::chrono::milliseconds kSuspicionTimeout{1000};

//! A gap between ticks above this bound means that the process was paused.
inline constexpr std::chrono::milliseconds kPauseBound{1000};

//! A VM that is off the platform's list and silent for this time is forgotten.
inline constexpr std::chrono::seconds kForgetTimeout{10};

//! Allowance for clocks of VMs that run at different rates.
inline constexpr std::chrono::milliseconds kClockMargin{1000};

//! How old the newest sign of life of a majority may be for a VM to be confident.
inline std::chrono::milliseconds freshnessBound(std::size_t vmCount)
{
    constexpr std::chrono::milliseconds kLeast{3000};
    constexpr std::chrono::milliseconds kPerVm{30};
    return std::max(kLeast, kPerVm * static_cast<int>(vmCount));
}

//! How long a VM must be silent before others stop waiting for it: it can't be confident by then.
inline std::chrono::milliseconds silenceBound(std::size_t vmCount)
{
    return freshnessBound(vmCount) + kClockMargin;
}
}
