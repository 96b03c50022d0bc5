#pragma once

#include "membership/types/relayoffer.h"

#include <chrono>
#include <optional>

namespace radishladder::membership {

//! A VM of the own data centre, read from its leased key in the store.
struct Member
{
    //! std::nullopt if the VM is no relay.
    std::optional<RelayOffer> relay;

    //! Time at which the key was first missing from a listing; the VM remains a member for a grace
    //! period after that. std::nullopt while the key exists.
    std::optional<std::chrono::steady_clock::time_point> leftAt;
};
}
