#include "placement/warmuppacer.h"

#include <algorithm>
#include <cmath>

namespace radishladder::placement {
namespace {
//! One second plus a margin for network jitter, which may shorten the time between arrivals.
constexpr std::chrono::milliseconds kWindow{1200};

//! VMs that may own the warm-up of one upstream at the same time, while their member lists differ.
constexpr double kConcurrentOwners = 2;
}

bool WarmupPacer::canOpen(upstreams::UpstreamId id, int limit, TimePoint now)
{
    const auto found = this->openTimes.find(id);
    if (found == this->openTimes.end()) {
        return limit > 0;
    }
    std::deque<TimePoint> &times = found->second;
    while (!times.empty() && now - times.front() > kWindow) {
        times.pop_front();
    }
    return static_cast<int>(times.size()) < limit;
}

void WarmupPacer::recordOpened(upstreams::UpstreamId id, TimePoint now)
{
    this->openTimes[id].push_back(now);
}

void WarmupPacer::sweep(TimePoint now)
{
    std::erase_if(this->openTimes, [now](const auto &entry) {
        return entry.second.empty() || now - entry.second.back() > kWindow;
    });
}

int warmupShare(double flowsPerSecond, double overage, int slack)
{
    const double bound = (flowsPerSecond * overage + slack) / kConcurrentOwners;
    const double limit = flowsPerSecond > 0 ? std::min(bound, flowsPerSecond) : bound;
    return std::max(1, static_cast<int>(std::floor(limit)));
}
}
