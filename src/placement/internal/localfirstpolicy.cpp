#include "placement/localfirstpolicy.h"

#include "global/irandom.h"
#include "placement/types/candidate.h"

namespace radishladder::placement {
namespace {
//! Requests in flight for each slot from which on the local queue costs more than the way to
//! another data centre.
constexpr double kSpillLoad = 2.5;

bool isUsable(const Candidate &candidate)
{
    if (candidate.isSuspect) {
        return false;
    }
    return !candidate.isCold || candidate.mayWarm;
}

bool isTrial(const Candidate &candidate)
{
    return candidate.isSuspect && candidate.mayTry && candidate.isLocal && !candidate.isCold;
}
}

LocalFirstPolicy::LocalFirstPolicy(IRandom &random) : random(random) { }

template <typename Filter>
std::optional<std::size_t> LocalFirstPolicy::leastLoaded(std::span<const Candidate> candidates,
                                                         Filter filter)
{
    std::optional<std::size_t> best;
    std::uint64_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!filter(candidates[i])) {
            continue;
        }
        if (!best || candidates[i].load < candidates[*best].load) {
            best = i;
            ties = 1;
        } else if (candidates[i].load == candidates[*best].load) {
            // Several VMs that share upstreams must not all pick the first of equals.
            ++ties;
            best = this->random.next() % ties == 0 ? i : *best;
        }
    }
    return best;
}

std::optional<std::size_t> LocalFirstPolicy::choose(std::span<const Candidate> candidates)
{
    // Load pattern: an upstream that comes back after a silence learns of no flows unless one is
    // risked on it now and then.
    if (const auto trial = this->leastLoaded(candidates, isTrial)) {
        return trial;
    }
    // Load pattern: calm day; bytes between data centres are dear.
    const auto local = this->leastLoaded(candidates, [](const Candidate &candidate) {
        return candidate.isLocal && isUsable(candidate);
    });
    if (local && candidates[*local].load < kSpillLoad) {
        return local;
    }
    // Load pattern: a data centre whose callers ask more than its upstreams bear.
    const auto remote = this->leastLoaded(candidates, [](const Candidate &candidate) {
        return !candidate.isLocal && isUsable(candidate);
    });
    if (remote && (!local || candidates[*remote].load < candidates[*local].load)) {
        return remote;
    }
    if (local) {
        return local;
    }
    // Load pattern: everything is silent, for example after this VM was cut off; the least loaded
    // suspect is as good a guess as any.
    return this->leastLoaded(candidates, [](const Candidate &candidate) {
        return !candidate.isCold || candidate.mayWarm;
    });
}

bool LocalFirstPolicy::suffices(const Candidate &candidate) const
{
    return isTrial(candidate)
        || (candidate.isLocal && isUsable(candidate) && candidate.load < kSpillLoad);
}
}
