#include "placement/internal/uniform.h"

#include "global/irandom.h"

#include <cstdint>
#include <limits>

namespace radishladder::placement {

double uniform(IRandom &random)
{
    constexpr auto kRange = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(random.next()) / kRange;
}
}
