#include "upstreams/upstreams.h"

#include "membership/isharedfacts.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"
#include "upstreams/internal/upstreamsstate.h"

#include <algorithm>
#include <set>

namespace radishladder::upstreams {
namespace {
constexpr std::chrono::nanoseconds kFlowRatePeriod = std::chrono::seconds(1);

std::set<DataCentreName> dataCentresOut(const settings::Configuration &configuration)
{
    std::set<DataCentreName> names;
    for (const settings::DataCentre &dataCentre : configuration.dataCentres) {
        if (dataCentre.out) {
            names.insert(dataCentre.name);
        }
    }
    return names;
}
}

Upstreams::Upstreams(settings::IConfigurationSource &source, membership::IMembership &membership,
                     membership::ISharedFacts &facts, telemetry::ITimeLine &timeLine,
                     const IClock &clock)
    : parts(std::make_unique<State>(membership, facts, timeLine, clock))
{
    source.subscribe(
        [this](const settings::Configuration &configuration) { this->configure(configuration); });
    facts.subscribe([this](const VmName &origin, const std::string &key,
                           const std::optional<membership::ISharedFacts::Value> &value) {
        this->learnFact(origin, key, value);
    });
    this->configure(*source.current());
}

Upstreams::~Upstreams() = default;

Upstreams::Entry *Upstreams::find(const UpstreamName &upstream) const
{
    const auto found = this->parts->entries.find(upstream);
    return found == this->parts->entries.end() ? nullptr : &found->second;
}

UpstreamState Upstreams::state(const UpstreamName &upstream) const
{
    const Entry *entry = this->find(upstream);
    return entry == nullptr ? UpstreamState::Gone : entry->state(this->parts->clock.now());
}

bool Upstreams::admitRequest(const UpstreamName &upstream, TimePoint now)
{
    Entry *entry = this->find(upstream);
    if (entry == nullptr || this->parts->released || this->parts->wasPaused(now)
        || !entry->isProvable() || entry->state(now) > UpstreamState::Ready) {
        return false;
    }
    const int share = this->parts->ledger.share(entry->slotSubject(), entry->upstream.dataCentre,
                                                entry->tracker.slotAllowance(), now);
    if (entry->running >= share) {
        return false;
    }
    ++entry->running;
    return true;
}

void Upstreams::requestEnded(const UpstreamName &upstream, Observation observation,
                             std::chrono::milliseconds latency, TimePoint now)
{
    Entry *entry = this->find(upstream);
    if (entry == nullptr) {
        return;
    }
    entry->running = std::max(entry->running - 1, 0);
    const Warmth before = entry->tracker.digest(now).warmth;
    entry->tracker.observe(observation, latency, now);
    entry->hasNews = entry->hasNews || entry->tracker.digest(now).warmth != before;
    this->update(*entry, now);
}

bool Upstreams::admitFlow(const UpstreamName &upstream, TimePoint now)
{
    Entry *entry = this->find(upstream);
    if (entry == nullptr || this->parts->wasPaused(now)
        || entry->state(now) > UpstreamState::Ready) {
        return false;
    }
    const ShareLedger &ledger = this->parts->ledger;
    const std::string subject = entry->flowSubject();
    if (entry->flows >= ledger.share(subject, {}, entry->upstream.connections, now)) {
        return false;
    }
    const std::optional<int> rate = entry->tracker.flowAllowance();
    if (rate && entry->isProvable()) {
        const int ownRate = ledger.share(subject, {}, *rate, now);
        if (ownRate == 0 || now < entry->nextFlowAt) {
            return false;
        }
        // Even spacing: a burst of several VMs' permits at once would exceed the rate in total.
        entry->nextFlowAt = now + kFlowRatePeriod / ownRate;
    }
    ++entry->flows;
    return true;
}

void Upstreams::flowEnded(const UpstreamName &upstream, TimePoint)
{
    Entry *entry = this->find(upstream);
    if (entry != nullptr) {
        entry->flows = std::max(entry->flows - 1, 0);
    }
}

void Upstreams::subscribe(Subscriber subscriber)
{
    this->parts->subscribers.push_back(std::move(subscriber));
}

std::vector<VmName> Upstreams::holders(const UpstreamName &upstream) const
{
    const Entry *entry = this->find(upstream);
    if (entry == nullptr || entry->state(this->parts->clock.now()) > UpstreamState::Ready) {
        return {};
    }
    return this->parts->ledger.holders(entry->slotSubject(), entry->upstream.dataCentre,
                                       entry->tracker.slotAllowance());
}

std::vector<settings::Upstream> Upstreams::probeDuties() const
{
    std::vector<settings::Upstream> duties;
    for (const auto &[name, entry] : this->parts->entries) {
        if (entry.isProber && entry.upstream.http.port != 0) {
            duties.push_back(entry.upstream);
        }
    }
    return duties;
}

void Upstreams::probeAnswered(const UpstreamName &upstream, const LoadReport &report, TimePoint now)
{
    Entry *entry = this->find(upstream);
    if (entry != nullptr && entry->isProber) {
        entry->tracker.report(report, now);
        this->update(*entry, now);
    }
}

void Upstreams::probeFailed(const UpstreamName &upstream, Observation observation, TimePoint now)
{
    Entry *entry = this->find(upstream);
    if (entry != nullptr && entry->isProber) {
        entry->tracker.probeFailed(observation, now);
        this->update(*entry, now);
    }
}

void Upstreams::configure(const settings::Configuration &configuration)
{
    const TimePoint now = this->parts->clock.now();
    const std::set<DataCentreName> out = dataCentresOut(configuration);
    std::chrono::milliseconds longest = kDefaultLongestRequest;
    std::set<UpstreamName> configured;
    for (const settings::Service &service : configuration.services) {
        longest = std::max(longest, service.requestTimeout);
        for (const settings::Upstream &upstream : service.upstreams) {
            configured.insert(upstream.name);
            const auto [found, isNew] = this->parts->entries.try_emplace(upstream.name, upstream);
            Entry &entry = found->second;
            const bool wasOut = entry.isOut();
            entry.service = service.name;
            entry.upstream = upstream;
            entry.dataCentreOut = out.contains(upstream.dataCentre);
            entry.tracker.setSlots(upstream.slots);
            if (isNew) {
                this->assignProbers(entry);
            } else if (wasOut && !entry.isOut()) {
                entry.tracker.returnToService(configuration.generation, now);
            }
            this->update(entry, now);
        }
    }
    std::erase_if(this->parts->entries, [&](const auto &item) {
        const bool isGone = !configured.contains(item.first);
        if (isGone && item.second.published) {
            this->parts->facts.withdraw(digestKey(item.first));
        }
        return isGone;
    });
    this->parts->ledger.setRest(2 * kListLag + longest);
}
}
