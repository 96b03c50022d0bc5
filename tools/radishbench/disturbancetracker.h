#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>

namespace radishladder::radishbench {

//! Records which VMs are disturbed, that is, prevented by a fault from receiving changes, and when
//! their disturbances ended.
class DisturbanceTracker
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Address that stands for all VMs.
    static constexpr std::uint32_t kAllVms = 0;

    //! Time after the end of a disturbance in which a VM reconnects; the bounds on how fast it
    //! applies changes start at the end of this time.
    static constexpr std::chrono::milliseconds kSettlingTime{4000};

    void begin(std::uint32_t vmAddress) { ++this->states[vmAddress].activeCount; }
    void end(std::uint32_t vmAddress)
    {
        State &state = this->states[vmAddress];
        --state.activeCount;
        state.lastEnd = std::chrono::steady_clock::now();
    }

    //! Returns true if the VM at \a vmAddress should have applied a change of time \a change by
    //! now: it is not disturbed, and more than \a bound has passed since the later of the change
    //! and the end of its settling time.
    bool isLate(std::uint32_t vmAddress, TimePoint change, std::chrono::milliseconds bound,
                TimePoint now) const
    {
        const State own = this->state(vmAddress);
        const State all = this->state(kAllVms);
        const TimePoint settledAt = std::max(own.lastEnd, all.lastEnd) + kSettlingTime;
        return own.activeCount + all.activeCount == 0 && now - std::max(change, settledAt) > bound;
    }

private:
    struct State
    {
        int activeCount = 0;
        TimePoint lastEnd;
    };

    State state(std::uint32_t vmAddress) const
    {
        const auto found = this->states.find(vmAddress);
        return found == this->states.end() ? State() : found->second;
    }

    std::map<std::uint32_t, State> states;
};
}
