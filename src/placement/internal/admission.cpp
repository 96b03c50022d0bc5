#include "placement/admission.h"

namespace radishladder::placement {
namespace {
//! Requests in flight per slot from which queueing exceeds the response time that clients aim for.
constexpr double kFullLoad = 3.0;

//! Retransmitted SYNs are late already, so the last queue places are reserved for first
//! transmissions.
constexpr double kFullLoadForRetransmissions = 2.0;
}

bool admitsSyn(double load, std::uint32_t retransmissions)
{
    return load < (retransmissions == 0 ? kFullLoad : kFullLoadForRetransmissions);
}
}
