#pragma once

#include "global/name.h"

#include <vector>

namespace radishladder::upstreams {

//! Which VMs may send requests to an upstream.
class ISlotHolders
{
public:
    virtual ~ISlotHolders() = default;

    //! VMs whose share of the upstream's slots is at least one now, best rank first.
    virtual std::vector<VmName> holders(const UpstreamName &upstream) const = 0;
};
}
