#pragma once

#include <chrono>

namespace radishladder::evidence {

//! When one upstream became a suspect, and when it may be probed.
class ProbeSchedule
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Records whether the upstream is a suspect; returns true if that has changed. \a hasResponded
    //! is false if an upstream is no suspect any longer only because the evidence is too old.
    bool setSuspect(bool isSuspect, bool hasResponded, TimePoint now);

    //! Returns true if the upstream, silent since \a silentSince, may get a probe flow at \a now.
    bool canProbe(TimePoint silentSince, TimePoint now) const;

    //! Records a probe flow and schedules the next one.
    void recordProbe(TimePoint now);

private:
    bool isSuspect = false;
    bool hasRecovered = false;
    bool isFlapping = false;

    //! When the upstream became a suspect after its last recovery.
    TimePoint suspectSince;
    TimePoint nextProbe;
    std::chrono::milliseconds probeDelay{0};
};
}
