#pragma once

#include "global/name.h"

#include <optional>
#include <vector>

namespace radishladder::membership {
struct RelayOffer;

//! Running VMs of the own data centre, determined from the leased keys in the store.
class IMembership
{
public:
    virtual ~IMembership() = default;

    //! Returns the VMs of the own data centre, this VM included, sorted by name.
    virtual const std::vector<VmName> &members() const = 0;

    //! Returns the relay address and link speed of \a member; std::nullopt if \a member is no relay
    //! or is not listed.
    virtual std::optional<RelayOffer> relayOfferOf(const VmName &member) const = 0;

    //! Returns true once this VM has been registered for long enough that its peers have listed it
    //! and it has listed its peers.
    virtual bool isSettled() const = 0;
};
}
