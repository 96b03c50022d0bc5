#include "placement/synbacklog.h"

#include <cmath>

namespace radishladder::placement {
namespace {
using Seconds = std::chrono::duration<double>;

//! Clients retransmit within 0.6 s, so a backlog lasts about as long.
constexpr Seconds kDecayTime{0.3};

//! A few upstreams or VMs that fail cause fewer retransmissions than this.
constexpr double kMinRetransmissions = 4;
constexpr double kMinShare = 1.0 / 3;
}

void SynBacklog::recordSyn(std::uint32_t retransmissionCount, TimePoint now)
{
    const double kept = std::exp(-Seconds(now - this->lastSyn) / kDecayTime);
    this->firstTransmissions *= kept;
    this->retransmissions *= kept;
    this->lastSyn = now;
    (retransmissionCount == 0 ? this->firstTransmissions : this->retransmissions) += 1;
}

bool SynBacklog::isPresent() const
{
    const double all = this->firstTransmissions + this->retransmissions;
    return this->retransmissions >= kMinRetransmissions && this->retransmissions >= kMinShare * all;
}
}
