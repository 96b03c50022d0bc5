#pragma once

#include <cstdint>
#include <vector>

namespace radishladder::placement {

//! Slot table of one service in one epoch.
struct EpochTable
{
    std::uint64_t epoch = 0;

    //! Wire identifiers of the upstreams that the slots refer to.
    std::vector<std::uint64_t> members;

    //! For each slot the position of its upstream in members; the size is a power of two.
    std::vector<std::uint16_t> slots;

    bool operator==(const EpochTable &) const = default;
};
}
