#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <deque>
#include <unordered_map>

namespace radishladder::placement {

//! Counts the flows that this VM opened to each cold upstream within a sliding second.
class WarmupPacer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! True if fewer than \a limit flows were opened to \a id within the last second.
    bool mayOpen(upstreams::UpstreamId id, int limit, TimePoint now);

    //! Notes a flow, or a repeat of its first packet, that goes to \a id.
    void noteOpened(upstreams::UpstreamId id, TimePoint now);

    //! Forgets upstreams without a recent flow.
    void sweep(TimePoint now);

private:
    std::unordered_map<upstreams::UpstreamId, std::deque<TimePoint>> opened;
};

//! Flows a second that one VM may open to a cold upstream that bears \a flowsPerSecond, when at
//! most \a flowsPerSecond times \a overage plus \a slack may arrive from all VMs together.
int warmupShare(double flowsPerSecond, double overage, int slack);
}
