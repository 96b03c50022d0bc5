#include "evidence/internal/probeschedule.h"

#include <algorithm>

namespace radishladder::evidence {
namespace {
using std::chrono::milliseconds;

constexpr milliseconds kMinProbeDelay{500};
constexpr milliseconds kMaxProbeDelay{2000};

//! Longest delay between probes of an upstream that is a suspect for the second time within
//! kFlapWindow: each recovery that doesn't last costs flows on all VMs.
constexpr milliseconds kMaxFlapProbeDelay{4000};
constexpr milliseconds kFlapWindow{10000};
}

bool ProbeSchedule::setSuspect(bool isNowSuspect, bool hasResponded, TimePoint now)
{
    if (isNowSuspect == this->isSuspect) {
        return false;
    }
    this->isSuspect = isNowSuspect;
    if (!isNowSuspect && hasResponded) {
        this->hasRecovered = true;
        this->probeDelay = milliseconds(0);
    } else if (isNowSuspect && this->hasRecovered) {
        this->isFlapping = now - this->suspectSince <= kFlapWindow;
        this->hasRecovered = false;
        this->suspectSince = now;
    } else if (isNowSuspect && this->suspectSince == TimePoint()) {
        this->suspectSince = now;
    }
    return true;
}

bool ProbeSchedule::canProbe(TimePoint silentSince, TimePoint now) const
{
    return now >= this->nextProbe && now - silentSince >= kMinProbeDelay;
}

void ProbeSchedule::recordProbe(TimePoint now)
{
    const milliseconds maxDelay = this->isFlapping ? kMaxFlapProbeDelay : kMaxProbeDelay;
    this->probeDelay = std::clamp(this->probeDelay * 2, kMinProbeDelay, maxDelay);
    this->nextProbe = now + this->probeDelay;
}
}
