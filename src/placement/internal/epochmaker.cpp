#include "placement/epochmaker.h"

#include "distribution/idocumentfeed.h"
#include "global/hash.h"
#include "membership/imembership.h"
#include "membership/isharedfacts.h"
#include "membership/types/member.h"
#include "placement/epochcodec.h"
#include "placement/epochplacement.h"
#include "placement/factkeys.h"
#include "placement/slotassignment.h"
#include "settings/freezepolicy.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"
#include "store/iconfigstore.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"
#include "telemetry/itimeline.h"
#include "upstreams/iupstreams.h"

#include <algorithm>
#include <set>

namespace radishladder::placement {
namespace {
constexpr std::uint64_t kMakerKeySeed = 0x6d616b65;
constexpr std::size_t kServiceGroups = 64;
constexpr std::size_t kMostTables = 8;
constexpr std::chrono::milliseconds kStableFor{500};
constexpr std::chrono::seconds kLostAfter{10};
constexpr std::chrono::milliseconds kRetryDelay{1000};

std::string epochKey(const ServiceName &service)
{
    return std::string(store::kEpochPrefix) + service.str();
}

std::uint64_t valueOf(const membership::ISharedFacts::Value &bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes.size() && i < sizeof value; ++i) {
        value |= static_cast<std::uint64_t>(bytes[i]) << (8 * i);
    }
    return value;
}

std::size_t groupOf(const ServiceName &service)
{
    return hash64(service.str(), kMakerKeySeed) % kServiceGroups;
}

//! Members of \a service that any retained table names, with the configured ones brought up to
//! date.
void describeMembers(const settings::Service &service, EpochDocument &document)
{
    for (const settings::Upstream &upstream : service.upstreams) {
        document.members[EpochPlacement::wireIdOf(upstream)] = {upstream.name, upstream.dataCentre,
                                                                upstream.tunnel};
    }
    std::set<std::uint64_t> used;
    for (const EpochTable &table : document.tables) {
        used.insert(table.members.begin(), table.members.end());
    }
    std::erase_if(document.members,
                  [&used](const auto &member) { return !used.contains(member.first); });
}
}

EpochMaker::EpochMaker(settings::IConfigurationSource &configuration,
                       distribution::IDocumentFeed &feed, store::IConfigStore &store,
                       membership::IMembership &membership, membership::ISharedFacts &facts,
                       upstreams::IUpstreams &upstreams, telemetry::ITimeLine &timeLine)
    : configuration(configuration), feed(feed), store(store), membership(membership), facts(facts),
      upstreams(upstreams), timeLine(timeLine), responsible(kServiceGroups, false)
{
    membership.subscribe(
        [this](const membership::Member &) { this->isResponsibilityStale = true; });
    configuration.subscribe(
        [this](const settings::Configuration &) { this->isResponsibilityStale = true; });
    upstreams.subscribe(
        [this](const UpstreamName &name, upstreams::UpstreamState, upstreams::UpstreamState to) {
            if (to == upstreams::UpstreamState::Gone || to == upstreams::UpstreamState::Leaving) {
                this->goneSince.try_emplace(name, this->lastTick);
            } else {
                this->goneSince.erase(name);
            }
        });
}

void EpochMaker::tick(TimePoint now)
{
    this->lastTick = now;
    const auto current = this->configuration.current();
    if (settings::isAllowed(settings::AutomaticAction::TableForLostUpstream, current->freeze)) {
        this->updateLost(now);
    }
    if (!this->membership.isConfident(now)) {
        return;
    }
    this->updateResponsibility();
    for (const settings::Service &service : current->services) {
        if (this->responsible[groupOf(service.name)]) {
            this->advance(service, *current, now);
        }
    }
}

void EpochMaker::updateResponsibility()
{
    if (!this->isResponsibilityStale) {
        return;
    }
    this->isResponsibilityStale = false;
    for (std::size_t group = 0; group < kServiceGroups; ++group) {
        const auto ranked = this->membership.ranked(kMakerKeySeed + group, 1);
        this->responsible[group] = !ranked.empty() && ranked.front() == this->membership.self();
    }
}

void EpochMaker::updateLost(TimePoint now)
{
    std::erase_if(this->lost,
                  [this](const UpstreamName &name) { return !this->goneSince.contains(name); });
    for (const auto &[name, since] : this->goneSince) {
        if (now - since >= kLostAfter) {
            this->lost.insert(name);
        }
    }
}

void EpochMaker::advance(const settings::Service &service,
                         const settings::Configuration &configuration, TimePoint now)
{
    Work &work = this->works[service.name];
    const auto wanted = this->wantedMembers(service, configuration);
    if (wanted != work.wanted) {
        work.wanted = wanted;
        work.wantedSince = now;
        work.quietRevision = 0;
    }
    // An empty table would serve nobody: the last one stays until an upstream may be used again.
    if (work.isWriting || now < work.retryAt || wanted.empty()) {
        return;
    }
    const auto stored = this->feed.find(epochKey(service.name));
    if (!stored) {
        EpochDocument first;
        first.tables.push_back(carrySlots({}, wanted));
        describeMembers(service, first);
        this->write(service.name, 0, first, now);
    } else if (stored->revision != work.quietRevision) {
        this->advanceDocument(service, *stored, now);
    }
}

void EpochMaker::advanceDocument(const settings::Service &service, const store::StoredValue &stored,
                                 TimePoint now)
{
    Work &work = this->works[service.name];
    EpochCodec codec;
    auto document = codec.decode(stored.value);
    if (!document) {
        return;
    }
    if (!document->newestActive) {
        // Active only once every VM treats the moved slots as contested; a VM that does not would
        // misplace flows.
        if (this->membership.isRevisionKnownByAll(stored.revision, now)) {
            document->newestActive = true;
            this->write(service.name, stored.revision, *document, now);
        }
        return;
    }
    EpochTable next = carrySlots(document->tables.back(), work.wanted);
    const EpochTable &newest = document->tables.back();
    const bool isSame = next.slots == newest.slots && next.members == newest.members;
    if (!isSame && now - work.wantedSince >= kStableFor && document->tables.size() < kMostTables) {
        document->tables.push_back(std::move(next));
        document->newestActive = false;
        describeMembers(service, *document);
        this->write(service.name, stored.revision, *document, now);
    } else if (document->tables.size() > 1 && this->mayRetireOldest(service, *document, now)) {
        document->tables.erase(document->tables.begin());
        describeMembers(service, *document);
        this->write(service.name, stored.revision, *document, now);
    } else if (isSame && document->tables.size() == 1) {
        work.quietRevision = stored.revision;
    }
}

std::vector<WeightedMember> EpochMaker::wantedMembers(
    const settings::Service &service, const settings::Configuration &configuration) const
{
    std::set<DataCentreName> out;
    for (const settings::DataCentre &dataCentre : configuration.dataCentres) {
        if (dataCentre.out) {
            out.insert(dataCentre.name);
        }
    }
    std::vector<WeightedMember> members;
    for (const settings::Upstream &upstream : service.upstreams) {
        const bool isExcluded = upstream.drain || out.contains(upstream.dataCentre);
        if (!isExcluded && !this->lost.contains(upstream.name)) {
            members.push_back({EpochPlacement::wireIdOf(upstream), upstream.weight});
        }
    }
    std::ranges::sort(members, {}, &WeightedMember::wireId);
    return members;
}

bool EpochMaker::mayRetireOldest(const settings::Service &service, const EpochDocument &document,
                                 TimePoint now) const
{
    const std::uint64_t oldest = document.tables.front().epoch;
    const std::string key = releasedKey(service.name);
    for (const membership::Member &member : this->membership.members()) {
        if (member.state == membership::MemberState::Dead) {
            continue;
        }
        const auto released = this->facts.value(member.name, key);
        if (!released || valueOf(*released) < oldest) {
            return false;
        }
    }
    return this->membership.isConfident(now);
}

void EpochMaker::write(const ServiceName &service, std::int64_t expected,
                       const EpochDocument &document, TimePoint now)
{
    this->works[service].isWriting = true;
    this->works[service].retryAt = now + kRetryDelay;
    const std::string key = epochKey(service);
    const std::string value = EpochCodec().encode(document);
    this->store.compareAndSwap(
        key, expected, value, std::nullopt,
        [this, service, key, value](std::optional<std::int64_t> revision, const Reason &reason) {
            this->works[service].isWriting = false;
            if (revision) {
                this->works[service].retryAt = {};
                this->feed.offer({.key = key, .value = value, .revision = *revision});
                return;
            }
            // Lost to another VM, or written without an answer: what the store holds decides.
            if (reason.code != ResultCode::StoreUnreachable) {
                this->readBack(service);
            }
        });
}

void EpochMaker::readBack(const ServiceName &service)
{
    this->store.get(epochKey(service), [this](const auto &value, std::int64_t, const Reason &) {
        if (value) {
            this->feed.offer(*value);
        }
    });
}
}
