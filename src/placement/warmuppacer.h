#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <deque>
#include <unordered_map>

namespace radishladder::placement {

//! Limits the rate at which this VM opens flows to each cold upstream, using a sliding window.
class WarmupPacer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Returns true if fewer than \a limit flows were opened to \a id within the last second, plus
    //! a margin for network jitter.
    bool canOpen(upstreams::UpstreamId id, int limit, TimePoint now);

    //! Records that a SYN, first sent or retransmitted, was forwarded to \a id.
    void recordOpened(upstreams::UpstreamId id, TimePoint now);

    //! Erases the state of upstreams without a recent flow.
    void sweep(TimePoint now);

private:
    std::unordered_map<upstreams::UpstreamId, std::deque<TimePoint>> openTimes;
};

//! Returns how many flows per second one VM may open to a cold upstream that accepts
//! \a flowsPerSecond (0 if its service specifies none), when at most \a flowsPerSecond times
//! \a overage plus \a slack may arrive from all VMs together.
int warmupShare(double flowsPerSecond, double overage, int slack);
}
