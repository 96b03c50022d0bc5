#include "flows/internal/suspectfilter.h"

#include "evidence/isharedevidence.h"
#include "flows/flowtable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! Short, since many upstreams may become suspects within a few reports.
constexpr std::chrono::milliseconds kCacheLifetime{20};

//! Silence before a SYN after which the SYN's first retransmission may go elsewhere. The same time
//! without a response after the SYN is needed otherwise.
constexpr std::chrono::milliseconds kMinSilenceBeforeSyn{500};

//! Other VMs that report the silence, or flows of all VMs without a response, the SYN included. The
//! VM that probes a suspect is the only one with silent flows after some seconds.
constexpr int kMinWitnesses = 2;
constexpr int kMinSilentFlows = 4;
}

SuspectFilter::SuspectFilter(const upstreams::UpstreamRegistry &registry, FlowTable &table)
    : registry(registry), table(table)
{ }

bool SuspectFilter::isSuspect(const upstreams::Upstream &upstream, TimePoint now) const
{
    if (this->evidence == nullptr) {
        return this->table.isSuspect(upstream.id);
    }
    const evidence::SharedSilence silence = this->evidence->silenceOf(upstream.id, now);
    if (this->table.isSuspect(upstream.id) && !silence.isOwnRefuted) {
        return true;
    }
    return silence.isSuspect && !this->isIgnored(upstream, now);
}

bool SuspectFilter::isSuspectOfOthers(const upstreams::Upstream &upstream, TimePoint now) const
{
    return this->evidence != nullptr && this->evidence->silenceOf(upstream.id, now).isSuspect
        && !this->isIgnored(upstream, now);
}

bool SuspectFilter::wasSilentBefore(const upstreams::UpstreamRecord &upstream, TimePoint sentAt,
                                    TimePoint now) const
{
    // Load pattern: every probe of an upstream that failed silently would otherwise wait for its
    // client's second retransmission, which is later than most target latencies.
    if (this->evidence == nullptr || this->isIgnored(upstream.upstream, now)) {
        return false;
    }
    const upstreams::UpstreamId id = upstream.upstream.id;
    const evidence::SharedSilence silence = this->evidence->silenceOf(id, now);
    const bool hasEnoughFlows = silence.witnesses >= kMinWitnesses
        || silence.silentFlows + silence.ownSilentFlows >= kMinSilentFlows;
    // The silence must be that of the current start of the upstream.
    if (!hasEnoughFlows || silence.since + kMinSilenceBeforeSyn > sentAt
        || upstream.startReceivedAt >= silence.since) {
        return false;
    }
    const TimePoint lastResponse =
        std::max(this->table.lastResponseOf(id), this->evidence->lastResponseOf(id));
    // Without prompt responses since the SYN, this VM's own links may be at fault.
    return lastResponse < silence.since && this->table.hasPromptResponses(now)
        && this->table.lastPromptResponse() > sentAt;
}

bool SuspectFilter::canProbe(const upstreams::Upstream &upstream, TimePoint now) const
{
    // Load pattern: all VMs hold an upstream for a suspect. If each of them probed it, each would
    // lose a flow every two seconds.
    return this->isSuspectOfOthers(upstream, now) ? this->evidence->canProbe(upstream.id, now)
                                                  : this->table.canProbe(upstream.id, now);
}

void SuspectFilter::recordProbe(const upstreams::Upstream &upstream, TimePoint now)
{
    this->table.recordProbe(upstream.id, now);
    if (this->evidence != nullptr) {
        this->evidence->recordProbe(upstream.id, now);
    }
}

bool SuspectFilter::isIgnored(const upstreams::Upstream &upstream, TimePoint now) const
{
    const auto known = std::ranges::find_if(this->cache, [&upstream](const CachedState &state) {
        return state.service == upstream.service && state.dataCentre == upstream.dataCentre;
    });
    if (known != this->cache.end() && now < known->validUntil) {
        return known->isIgnored;
    }
    const bool isIgnored = this->areMostSuspects(upstream.service, upstream.dataCentre, now);
    std::erase_if(this->cache, [now](const CachedState &state) { return now >= state.validUntil; });
    this->cache.push_back({.service = upstream.service,
                           .dataCentre = upstream.dataCentre,
                           .validUntil = now + kCacheLifetime,
                           .isIgnored = isIgnored});
    return isIgnored;
}

bool SuspectFilter::areMostSuspects(const ServiceName &service, const DataCentreName &dataCentre,
                                    TimePoint now) const
{
    const auto suspects = this->evidence->suspects(now);
    std::size_t total = 0;
    std::size_t suspectCount = 0;
    for (const upstreams::UpstreamRecord *record : this->registry.findByService(service)) {
        if (record->upstream.dataCentre != dataCentre || !record->acceptsNewFlows()) {
            continue;
        }
        ++total;
        if (std::ranges::find(suspects, record->upstream.id) != suspects.end()) {
            ++suspectCount;
        }
    }
    return suspectCount * 2 > total;
}
}
