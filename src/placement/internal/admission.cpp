#include "placement/admission.h"

namespace radishladder::placement {
namespace {
//! Requests in flight for each slot from which on a queue takes longer than callers aim for.
constexpr double kFullLoad = 3.0;

//! A repeat is late already, so it leaves the last places to fresh ones.
constexpr double kFullLoadForRepeats = 2.0;
}

bool admitsOpening(double load, std::uint32_t copy)
{
    return load < (copy == 0 ? kFullLoad : kFullLoadForRepeats);
}
}
