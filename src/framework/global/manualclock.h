#pragma once

#include "global/iclock.h"

namespace radishladder {

//! A clock that moves only when told to; for tests and replay of recorded traces.
class ManualClock : public IClock
{
public:
    std::chrono::steady_clock::time_point now() const override { return this->steady; }
    std::chrono::nanoseconds sinceBoot() const override
    {
        return this->steady.time_since_epoch() + this->suspended;
    }
    std::chrono::system_clock::time_point wallNow() const override { return this->wall; }

    void advance(std::chrono::nanoseconds duration)
    {
        this->steady += std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration);
        this->wall += std::chrono::duration_cast<std::chrono::system_clock::duration>(duration);
    }

    //! Lets time pass while the VM is suspended, which its monotonic time does not count.
    void suspend(std::chrono::nanoseconds duration)
    {
        this->suspended += duration;
        this->wall += std::chrono::duration_cast<std::chrono::system_clock::duration>(duration);
    }

    //! Shifts calendar time only, as a skewed VM would see it.
    void skewWall(std::chrono::milliseconds offset) { this->wall += offset; }

private:
    std::chrono::steady_clock::time_point steady{std::chrono::hours(1)};
    std::chrono::nanoseconds suspended{0};
    std::chrono::system_clock::time_point wall{std::chrono::hours(24 * 365 * 50)};
};
}
