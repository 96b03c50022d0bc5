#pragma once

#include <algorithm>
#include <chrono>

namespace radishladder::radishbench {

//! Since when nothing kept VMs from hearing of changes.
struct Calm
{
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Bounds hold for VMs that have been undisturbed for this long.
    static constexpr std::chrono::milliseconds kContact{4000};

    //! Disturbances that go on now.
    int disturbances = 0;
    TimePoint since;

    void begin() { ++this->disturbances; }
    void end()
    {
        --this->disturbances;
        this->since = std::chrono::steady_clock::now();
    }

    //! True if \a bound after \a change has passed and undisturbed VMs must have heard of it.
    bool isLate(TimePoint change, std::chrono::milliseconds bound, TimePoint now) const
    {
        return this->disturbances == 0 && now - std::max(change, this->since + kContact) > bound;
    }
};
}
