#include "placement/localfirstpolicy.h"

#include "global/irandom.h"
#include "placement/responsetime.h"
#include "placement/types/candidate.h"

#include <algorithm>

namespace radishladder::placement {
namespace {
//! Requests in flight per slot from which the wait in the local queue exceeds the network latency
//! to another data centre.
constexpr double kSpillLoad = 2.5;

//! Requests in flight per slot from which an upstream has no free slot, so that one outside of the
//! preferred arc is more likely to have one.
constexpr double kWideningLoad = 1.0;

//! Mean requests in flight per slot from which most of the response time is spent in queues.
constexpr double kOverload = 2.0;

bool isUsable(const Candidate &candidate)
{
    if (candidate.isSuspect) {
        return false;
    }
    return !candidate.isCold || candidate.canWarmUp;
}

//! Returns the shortest known response time; 0 if none is known.
std::chrono::microseconds fastestResponse(std::span<const Candidate> candidates)
{
    std::chrono::microseconds fastest{0};
    for (const Candidate &candidate : candidates) {
        const bool isKnown = candidate.responseTime.count() > 0 && isUsable(candidate);
        if (isKnown && (fastest.count() == 0 || candidate.responseTime < fastest)) {
            fastest = candidate.responseTime;
        }
    }
    return fastest;
}

//! Returns the load with one more flow, weighted by how slowly the upstream responds.
double costOf(const Candidate &candidate, std::chrono::microseconds fastest)
{
    const double load = candidate.load + candidate.loadPerFlow;
    // In overload, response times are those of the queues. Weighting by them left upstreams idle
    // whose queues had been long.
    const bool isOverloaded = candidate.dataCentreLoad >= kOverload;
    return isOverloaded ? load : load * slownessOf(candidate.responseTime, fastest);
}

bool isProbe(const Candidate &candidate)
{
    return candidate.isSuspect && candidate.canProbe && candidate.isLocal && !candidate.isCold;
}
}

LocalFirstPolicy::LocalFirstPolicy(IRandom &random) : random(random) { }

template <typename Filter>
std::optional<std::size_t> LocalFirstPolicy::findLeastLoaded(std::span<const Candidate> candidates,
                                                             Filter filter)
{
    std::optional<std::size_t> best;
    double least = 0;
    std::uint64_t tieCount = 0;
    const auto fastest = fastestResponse(candidates);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!filter(candidates[i])) {
            continue;
        }
        const double cost = costOf(candidates[i], fastest);
        if (!best || cost < least) {
            best = i;
            least = cost;
            tieCount = 1;
        } else if (cost == least) {
            // Random choice, so that VMs that share upstreams don't all select the same one.
            ++tieCount;
            best = this->random.next() % tieCount == 0 ? i : *best;
        }
    }
    return best;
}

std::optional<std::size_t> LocalFirstPolicy::findByRing(std::span<const Candidate> candidates,
                                                        bool isLocal)
{
    int lastRing = 0;
    for (const Candidate &candidate : candidates) {
        lastRing = std::max(lastRing, candidate.isLocal == isLocal ? candidate.ring : 0);
    }
    for (int ring = 0;; ++ring) {
        const auto found =
            this->findLeastLoaded(candidates, [ring, isLocal](const Candidate &candidate) {
                return candidate.isLocal == isLocal && candidate.ring <= ring
                    && isUsable(candidate);
            });
        if (ring >= lastRing || (found && candidates[*found].load < kWideningLoad)) {
            return found;
        }
    }
}

std::optional<std::size_t> LocalFirstPolicy::choose(std::span<const Candidate> candidates)
{
    // Load pattern: an upstream recovers after it was silent. The recovery is only detected if the
    // upstream gets a probe flow from time to time.
    if (const auto probe = this->findLeastLoaded(candidates, isProbe)) {
        return probe;
    }
    // Load pattern: normal load. Traffic between data centres is expensive.
    const auto local = this->findByRing(candidates, true);
    if (local && candidates[*local].limitingLoad() < kSpillLoad) {
        return local;
    }
    // Load pattern: clients of a data centre request more than its upstreams can handle.
    const auto remote = this->findByRing(candidates, false);
    if (remote
        && (!local || candidates[*remote].limitingLoad() < candidates[*local].limitingLoad())) {
        return remote;
    }
    if (local) {
        return local;
    }
    // Load pattern: all upstreams are silent, for example after this VM was cut off. The least
    // loaded suspect is as likely to respond as any other.
    return this->findLeastLoaded(candidates, [](const Candidate &candidate) {
        return !candidate.isCold || candidate.canWarmUp;
    });
}

bool LocalFirstPolicy::isSufficient(const Candidate &candidate) const
{
    return isProbe(candidate)
        || (candidate.isLocal && isUsable(candidate) && candidate.limitingLoad() < kSpillLoad);
}
}
