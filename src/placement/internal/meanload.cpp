#include "placement/meanload.h"

#include <cmath>

namespace radishladder::placement {

double estimateMeanLoad(int ownRequests, std::size_t vmCount, int slots)
{
    if (slots <= 0 || ownRequests <= 0) {
        return 0;
    }
    // Independent requests have a Poisson distribution. The lowest mean that the number is within
    // one standard deviation of: mean + sqrt(mean) = ownRequests.
    const double deviation = (std::sqrt(1 + 4.0 * ownRequests) - 1) / 2;
    return deviation * deviation * static_cast<double>(vmCount) / slots;
}
}
