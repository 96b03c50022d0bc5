#pragma once

#include "placement/types/epochmember.h"
#include "placement/types/epochtable.h"

#include <map>

namespace radishladder::placement {

//! Retained tables of one service as the platform's store holds them.
struct EpochDocument
{
    //! Oldest first, never empty in a valid document.
    std::vector<EpochTable> tables;

    //! Upstreams of all retained tables by wire identifier.
    std::map<std::uint64_t, EpochMember> members;

    //! False while the newest table is announced only and places no flow yet.
    bool newestActive = true;

    bool operator==(const EpochDocument &) const = default;
};
}
