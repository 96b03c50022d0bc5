#pragma once

#include <chrono>

namespace radishladder {

//! Source of time for all code whose behaviour depends on time; tests use a ManualClock.
class IClock
{
public:
    virtual ~IClock() = default;

    //! Returns monotonic time, which serves to measure durations.
    virtual std::chrono::steady_clock::time_point now() const = 0;

    //! Returns the time since the VM booted, including the time it was suspended.
    virtual std::chrono::nanoseconds timeSinceBoot() const = 0;

    //! Returns calendar time, which serves only for the timestamps of log lines.
    virtual std::chrono::system_clock::time_point wallTime() const = 0;
};
}
