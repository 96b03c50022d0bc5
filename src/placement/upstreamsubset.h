#pragma once

#include "upstreams/types/upstreamid.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace radishladder::placement {

//! The part of a service's upstreams in one data centre that this VM prefers; does no I/O and reads
//! no clock.
//!
//! Load pattern: many VMs select upstreams at the same moment, and each one knows only the requests
//! that it forwards itself. The upstreams are ordered by a hash of their identifiers, and the arcs
//! (consecutive upstreams in this order) that the VMs prefer are spread evenly over the order, so
//! each upstream is preferred by few VMs, whose own requests are then most of its load.
class UpstreamSubset
{
public:
    //! Returns true if VMs prefer subsets in a data centre with \a memberCount VMs. With fewer VMs,
    //! the requests of each one are a large part of the load of every upstream.
    static bool isUsedBy(std::size_t memberCount);

    //! Sets the upstreams that may get new flows, in any order, and the position of this VM among
    //! the \a memberCount sorted VMs; cheap if nothing has changed.
    void update(std::size_t memberIndex, std::size_t memberCount,
                std::span<const upstreams::UpstreamId> upstreams);

    //! Returns 0 for the upstreams of the preferred arc and r for those that it includes only after
    //! it was doubled r times; 0 if \a upstream is not in the order.
    int ringOf(upstreams::UpstreamId upstream) const;

    //! Returns the number of VMs that prefer the same upstream.
    std::size_t vmsPerUpstream() const;

private:
    //! Returns the position in the order of the first upstream that the VM at \a index prefers.
    std::size_t arcStart(std::size_t index) const;

    std::size_t memberIndex = 0;
    std::size_t memberCount = 0;

    //! The upstreams as last received, to detect changes.
    std::vector<upstreams::UpstreamId> upstreams;

    //! Tokens of the upstreams, which are hashes of their identifiers, sorted.
    std::vector<std::uint32_t> order;
};
}
