#pragma once

#include "membership/imembership.h"
#include "membership/types/relayoffer.h"

#include <vector>

namespace radishladder::flows {

//! Membership with the members that a test sets.
class FakeMembership : public membership::IMembership
{
public:
    const std::vector<VmName> &members() const override { return this->memberNames; }
    std::optional<membership::RelayOffer> relayOfferOf(const VmName &) const override
    {
        return std::nullopt;
    }
    bool isSettled() const override { return this->settled; }

    std::vector<VmName> memberNames{VmName("a")};
    bool settled = true;
};
}
