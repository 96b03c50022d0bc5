#pragma once

#include "membership/types/relayoffer.h"

#include <chrono>
#include <optional>

namespace radishladder::membership {

//! A VM of the own data centre as its key in the store shows it.
struct Member
{
    //! std::nullopt if it passes nothing on.
    std::optional<RelayOffer> relay;

    //! When its key went; it still counts for a while. std::nullopt while the key is there.
    std::optional<std::chrono::steady_clock::time_point> leftAt;
};
}
