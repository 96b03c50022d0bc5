#include "placement/warmuppacer.h"

#include <algorithm>
#include <cmath>

namespace radishladder::placement {
namespace {
//! A second plus what delays on the way may squeeze together.
constexpr std::chrono::milliseconds kWindow{1200};

//! Two VMs may both own an upstream while they disagree about who is alive.
constexpr double kOwnersAtOnce = 2;
}

bool WarmupPacer::mayOpen(upstreams::UpstreamId id, int limit, TimePoint now)
{
    const auto known = this->opened.find(id);
    if (known == this->opened.end()) {
        return limit > 0;
    }
    std::deque<TimePoint> &times = known->second;
    while (!times.empty() && now - times.front() > kWindow) {
        times.pop_front();
    }
    return static_cast<int>(times.size()) < limit;
}

void WarmupPacer::noteOpened(upstreams::UpstreamId id, TimePoint now)
{
    this->opened[id].push_back(now);
}

void WarmupPacer::sweep(TimePoint now)
{
    std::erase_if(this->opened, [now](const auto &entry) {
        return entry.second.empty() || now - entry.second.back() > kWindow;
    });
}

int warmupShare(double flowsPerSecond, double overage, int slack)
{
    const double bound = (flowsPerSecond * overage + slack) / kOwnersAtOnce;
    const double borne = flowsPerSecond > 0 ? std::min(bound, flowsPerSecond) : bound;
    return std::max(1, static_cast<int>(std::floor(borne)));
}
}
