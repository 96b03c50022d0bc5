#include "app/stoppolicy.h"

#include <algorithm>

namespace radishladder::app {
namespace {
//! Routers turn away after this many probes without success.
constexpr int kProbesUntilTurnedAway = 2;

//! Packets that are still on their way when routers turn away.
constexpr std::chrono::milliseconds kQuiet{400};

//! Routers that go on sending have no other VM to turn to.
constexpr std::chrono::milliseconds kLongest{3000};

constexpr std::chrono::milliseconds kMargin{1500};
}

StopPolicy::StopPolicy(std::chrono::milliseconds limit)
    : limit(std::min(kLongest, std::max(limit - kMargin, std::chrono::milliseconds(0))))
{ }

void StopPolicy::askToStop(TimePoint now)
{
    if (!this->stopping) {
        this->stopping = true;
        this->askedAt = now;
        this->refusedProbes = 0;
    }
}

bool StopPolicy::mayEnd(TimePoint lastPacket, TimePoint now) const
{
    if (!this->stopping) {
        return false;
    }
    const bool turnedAway = this->refusedProbes >= kProbesUntilTurnedAway;
    if (turnedAway && now - std::max(lastPacket, this->askedAt) >= kQuiet) {
        return true;
    }
    return now - this->askedAt >= this->limit;
}
}
