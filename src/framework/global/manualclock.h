#pragma once

#include "global/iclock.h"

namespace radishladder {

//! Clock that advances only by explicit calls; used in tests and fuzzers.
class ManualClock : public IClock
{
public:
    std::chrono::steady_clock::time_point now() const override { return this->steady; }
    std::chrono::nanoseconds timeSinceBoot() const override
    {
        return this->steady.time_since_epoch() + this->suspended;
    }
    std::chrono::system_clock::time_point wallTime() const override { return this->wall; }

    //! Advances monotonic and calendar time by \a duration.
    void advance(std::chrono::nanoseconds duration)
    {
        this->steady += std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration);
        this->wall += std::chrono::duration_cast<std::chrono::system_clock::duration>(duration);
    }

    //! Simulates a suspension of the VM: time since boot and calendar time advance by \a duration,
    //! while monotonic time stands still.
    void suspend(std::chrono::nanoseconds duration)
    {
        this->suspended += duration;
        this->wall += std::chrono::duration_cast<std::chrono::system_clock::duration>(duration);
    }

    //! Shifts calendar time only, to simulate clock skew of a VM.
    void skewWallTime(std::chrono::milliseconds offset) { this->wall += offset; }

private:
    std::chrono::steady_clock::time_point steady{std::chrono::hours(1)};
    std::chrono::nanoseconds suspended{0};
    std::chrono::system_clock::time_point wall{std::chrono::hours(24 * 365 * 50)};
};
}
