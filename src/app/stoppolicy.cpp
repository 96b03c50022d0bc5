#include "app/stoppolicy.h"

#include <algorithm>

namespace radishladder::app {
namespace {
//! Routers withdraw a VM after this many failed probes.
constexpr int kFailedProbesUntilWithdrawn = 2;

//! Once routers have withdrawn the VM, packets in flight arrive within this time.
constexpr std::chrono::milliseconds kQuietTime{400};

//! Longest wait. Routers that still send packets after this time have no other VM to send them to.
constexpr std::chrono::milliseconds kMaxWait{3000};

//! Time reserved at the end of the limit for the exit itself.
constexpr std::chrono::milliseconds kExitMargin{1500};
}

StopPolicy::StopPolicy(std::chrono::milliseconds limit)
    : limit(std::min(kMaxWait, std::max(limit - kExitMargin, std::chrono::milliseconds(0))))
{ }

void StopPolicy::requestStop(TimePoint now)
{
    if (!this->stopping) {
        this->stopping = true;
        this->stopRequestedAt = now;
        this->failedProbes = 0;
    }
}

bool StopPolicy::canExit(TimePoint lastPacket, TimePoint now) const
{
    if (!this->stopping) {
        return false;
    }
    const bool isWithdrawn = this->failedProbes >= kFailedProbesUntilWithdrawn;
    if (isWithdrawn && now - std::max(lastPacket, this->stopRequestedAt) >= kQuietTime) {
        return true;
    }
    return now - this->stopRequestedAt >= this->limit;
}
}
