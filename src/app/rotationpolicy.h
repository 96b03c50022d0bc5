#pragma once

#include <chrono>

namespace radishladder::app {

//! Decides whether routers should send packets to this VM; does no I/O and reads no clock.
//!
//! Load pattern: a VM that is cut off can serve none of its callers, while VMs of other data
//! centres can. Routers turn to those once all VMs of a data centre say that they are not ready.
class RotationPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! What this VM knows of its surroundings.
    struct Surroundings
    {
        //! The own data centre has an upstream for new flows.
        bool servesLocally = true;

        //! It has none, and no other upstream answers.
        bool isOutOfReach = false;

        //! The store answers calls.
        bool hasStore = true;
    };

    //! True if the verdict has changed. A VM that is out returns once upstreams of its own serve or
    //! the store answers again, else after a pause: packets that still reach it may show answers
    //! that came by way of other VMs, so they prove nothing.
    bool judge(const Surroundings &surroundings, TimePoint now);

    //! Routers should leave this VM out.
    bool isOut() const { return this->out; }

private:
    bool mayReturn(const Surroundings &surroundings, TimePoint now) const;

    bool out = false;

    //! The store was away at some time since this VM left.
    bool lostStore = false;
    TimePoint leftAt;
    TimePoint returnedAt;
    std::chrono::milliseconds pause{0};
};
}
