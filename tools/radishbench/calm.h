#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>

namespace radishladder::radishbench {

//! Which VMs were kept from hearing of changes, and since when they are not any more.
class Calm
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Stands for all VMs.
    static constexpr std::uint32_t kEverybody = 0;

    //! Bounds hold for VMs that have been undisturbed for this long.
    static constexpr std::chrono::milliseconds kContact{4000};

    void begin(std::uint32_t vmAddress) { ++this->states[vmAddress].disturbances; }
    void end(std::uint32_t vmAddress)
    {
        State &state = this->states[vmAddress];
        --state.disturbances;
        state.since = std::chrono::steady_clock::now();
    }

    //! True if \a bound after \a change has passed and the VM at \a vmAddress must have heard of
    //! it.
    bool isLate(std::uint32_t vmAddress, TimePoint change, std::chrono::milliseconds bound,
                TimePoint now) const
    {
        const State own = this->state(vmAddress);
        const State all = this->state(kEverybody);
        const TimePoint quiet = std::max(own.since, all.since) + kContact;
        return own.disturbances + all.disturbances == 0 && now - std::max(change, quiet) > bound;
    }

private:
    struct State
    {
        int disturbances = 0;
        TimePoint since;
    };

    State state(std::uint32_t vmAddress) const
    {
        const auto known = this->states.find(vmAddress);
        return known == this->states.end() ? State() : known->second;
    }

    std::map<std::uint32_t, State> states;
};
}
