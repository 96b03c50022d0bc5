#include "evidence/internal/upstreamevidence.h"

#include <algorithm>

namespace radishladder::evidence {
namespace {
using std::chrono::milliseconds;

//! Silent flows that make an upstream a suspect; a single one may be caused by its client.
constexpr int kMinSilentFlows = 2;

//! At least one report or retransmission of a suspect is newer than this: twice the longest
//! interval of reports, so that a lost datagram does not end the suspicion.
constexpr milliseconds kMaxNewestAge{2000};

//! Older reports and retransmissions are ignored. Clients retransmit at intervals of up to 1.6 s,
//! and probes of suspects are up to 4 s apart.
constexpr milliseconds kMaxAge{5000};

//! While a VM gets no response itself, other VMs' responses refute its own silence once in this
//! time: it may be the only one that cannot reach the upstream.
constexpr milliseconds kRefutationInterval{10000};

//! Ages have a resolution of 1 ms and exclude the latency between VMs, so times derived from them
//! may be this much too late.
constexpr milliseconds kTimeError{2};

bool isRefutedBy(UpstreamEvidence::TimePoint since, UpstreamEvidence::TimePoint response)
{
    return response + kTimeError >= since;
}
}

void UpstreamEvidence::addOwn(TimePoint since, bool isNewFlow, TimePoint now)
{
    if (!this->isOwnSilent(now)) {
        this->ownFlowCount = 0;
    }
    if (!this->wasOwnRefuted(now)) {
        this->refutingResponse = this->sharedResponse;
    }
    if (isRefutedBy(since, this->refutingResponse)) {
        this->ownRefutedAt = this->wasOwnRefuted(now) ? this->ownRefutedAt : now;
        return;
    }
    this->lastRetransmission = now;
    // Flows that were counted before a refutation count again if they began to wait after it.
    const bool isCounted =
        !isNewFlow && std::ranges::find(this->ownFlows(), since) != this->ownFlows().end();
    if (!isCounted && this->ownFlowCount < kMaxOwnFlows) {
        this->ownFlowTimes[this->ownFlowCount++] = since;
    }
}

void UpstreamEvidence::addWitness(const Witness &witness)
{
    if (isRefutedBy(witness.since, this->sharedResponse)) {
        return;
    }
    const auto begin = this->witnesses.begin();
    const auto end = begin + static_cast<std::ptrdiff_t>(this->witnessCount);
    const auto known = std::find_if(
        begin, end, [&witness](const Witness &other) { return other.sender == witness.sender; });
    if (known != end) {
        *known = witness;
    } else if (this->witnessCount < kMaxWitnesses) {
        this->witnesses[this->witnessCount++] = witness;
    } else {
        *std::ranges::min_element(this->witnesses, {}, &Witness::receivedAt) = witness;
    }
}

bool UpstreamEvidence::refute(TimePoint response, TimePoint now)
{
    this->sharedResponse = std::max(this->sharedResponse, response);
    const auto witnessesEnd = std::remove_if(
        this->witnesses.begin(),
        this->witnesses.begin() + static_cast<std::ptrdiff_t>(this->witnessCount),
        [response](const Witness &witness) { return isRefutedBy(witness.since, response); });
    const auto remaining = static_cast<std::size_t>(witnessesEnd - this->witnesses.begin());
    bool hasRefuted = remaining < this->witnessCount;
    this->witnessCount = remaining;
    if (this->wasOwnRefuted(now)) {
        return hasRefuted;
    }
    const auto flowsEnd =
        std::remove_if(this->ownFlowTimes.begin(),
                       this->ownFlowTimes.begin() + static_cast<std::ptrdiff_t>(this->ownFlowCount),
                       [response](TimePoint since) { return isRefutedBy(since, response); });
    const auto remainingFlows = static_cast<std::size_t>(flowsEnd - this->ownFlowTimes.begin());
    if (remainingFlows < this->ownFlowCount) {
        this->ownRefutedAt = now;
        this->refutingResponse = response;
        this->ownFlowCount = remainingFlows;
        hasRefuted = true;
    }
    return hasRefuted;
}

bool UpstreamEvidence::recordOwnResponse()
{
    const bool wasSilent = this->witnessCount > 0 || this->ownFlowCount > 0;
    this->witnessCount = 0;
    this->ownFlowCount = 0;
    this->ownRefutedAt = {};
    return wasSilent;
}

SharedSilence UpstreamEvidence::combine(TimePoint now) const
{
    SharedSilence silence{.isOwnRefuted =
                              this->wasOwnRefuted(now) && this->ownFlowCount < kMinSilentFlows};
    TimePoint newest;
    if (this->isOwnSilent(now)) {
        silence.ownSilentFlows = static_cast<int>(this->ownFlowCount);
        silence.since = this->ownSince();
        newest = this->lastRetransmission;
    }
    for (const Witness &witness : this->usedWitnesses()) {
        if (now - witness.receivedAt > kMaxAge) {
            continue;
        }
        const bool isFirst = silence.witnesses == 0 && silence.ownSilentFlows == 0;
        silence.since = isFirst ? witness.since : std::min(silence.since, witness.since);
        ++silence.witnesses;
        silence.silentFlows += witness.silentFlows;
        silence.newestReport = std::max(silence.newestReport, witness.receivedAt);
    }
    newest = std::max(newest, silence.newestReport);
    silence.isSuspect = silence.witnesses > 0
        && silence.silentFlows + silence.ownSilentFlows >= kMinSilentFlows
        && now - newest <= kMaxNewestAge;
    return silence;
}

int UpstreamEvidence::witnessesSince(TimePoint after, TimePoint now) const
{
    return static_cast<int>(
        std::ranges::count_if(this->usedWitnesses(), [after, now](const Witness &witness) {
            return witness.lastRetransmission > after && now - witness.receivedAt <= kMaxAge;
        }));
}

int UpstreamEvidence::reportsSince(TimePoint after) const
{
    return static_cast<int>(
        std::ranges::count_if(this->usedWitnesses(), [after](const Witness &witness) {
            return witness.receivedAt >= after;
        }));
}

bool UpstreamEvidence::isOwnSilent(TimePoint now) const
{
    return this->ownFlowCount > 0 && now - this->lastRetransmission <= kMaxAge;
}

bool UpstreamEvidence::wasOwnRefuted(TimePoint now) const
{
    return this->ownRefutedAt != TimePoint() && now - this->ownRefutedAt <= kRefutationInterval;
}

UpstreamEvidence::TimePoint UpstreamEvidence::ownSince() const
{
    return this->ownFlowCount == 0 ? TimePoint() : std::ranges::min(this->ownFlows());
}
}
