#pragma once

#include <cstdint>

namespace radishladder::placement {

//! An upstream with its share of new flows.
struct WeightedMember
{
    std::uint64_t wireId = 0;
    int weight = 1;

    bool operator==(const WeightedMember &) const = default;
};
}
