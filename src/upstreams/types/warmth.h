#pragma once

#include <compare>
#include <cstdint>

namespace radishladder::upstreams {

//! How far an upstream has proven itself since it last started cold. Merging is commutative and
//! idempotent, so that VMs may learn the warmth of an upstream in any order.
struct Warmth
{
    //! Configuration generation that last brought the upstream back into service.
    std::uint64_t generation = 0;

    //! Returns to the start within the generation.
    std::uint32_t resets = 0;

    //! Requests it may run at once over all VMs.
    int slots = 1;

    //! Doublings of the first rate of new flows.
    int flowLevel = 0;

    bool operator==(const Warmth &) const = default;

    bool isAtStart() const { return this->slots <= 1 && this->flowLevel == 0; }

    //! The later start wins; within one start the larger growth.
    static Warmth merged(const Warmth &left, const Warmth &right);
};
}
