#include "routing/types/rankedservice.h"

#include <algorithm>

namespace radishladder::routing {
int RankedService::rankOf(int priority) const
{
    const auto found = std::ranges::lower_bound(this->priorities, priority);
    return static_cast<int>(found - this->priorities.begin());
}
}
