#pragma once

#include <chrono>

namespace radishladder {

//! Source of time for every decision; tests advance it by hand.
class IClock
{
public:
    virtual ~IClock() = default;

    //! Monotonic time, for durations.
    virtual std::chrono::steady_clock::time_point now() const = 0;

    //! Time since the VM was booted, with the time for which it was suspended.
    virtual std::chrono::nanoseconds sinceBoot() const = 0;

    //! Calendar time, for the time line only.
    virtual std::chrono::system_clock::time_point wallNow() const = 0;
};
}
