#include "upstreams/types/warmth.h"

#include <algorithm>
#include <tuple>

namespace radishladder::upstreams {
Warmth Warmth::merged(const Warmth &left, const Warmth &right)
{
    const auto leftStart = std::tie(left.generation, left.resets);
    const auto rightStart = std::tie(right.generation, right.resets);
    if (leftStart != rightStart) {
        return leftStart < rightStart ? right : left;
    }
    Warmth result = left;
    result.slots = std::max(left.slots, right.slots);
    result.flowLevel = std::max(left.flowLevel, right.flowLevel);
    return result;
}
}
