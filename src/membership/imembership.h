#pragma once

#include "global/name.h"

#include <optional>
#include <vector>

namespace radishladder::membership {
struct RelayOffer;

//! The VMs of the system that run, as the store's leases show them.
class IMembership
{
public:
    virtual ~IMembership() = default;

    //! VMs of the own data centre, this one included, in the order of their names.
    virtual const std::vector<VmName> &members() const = 0;

    //! How \a member passes on what the store says; std::nullopt if it does not.
    virtual std::optional<RelayOffer> relayOf(const VmName &member) const = 0;

    //! True once the other VMs must have heard of this one, and it of them.
    virtual bool isSettled() const = 0;
};
}
