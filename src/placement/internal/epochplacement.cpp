#include "placement/epochplacement.h"

#include "distribution/idocumentfeed.h"
#include "global/hash.h"
#include "membership/isharedfacts.h"
#include "placement/epochcodec.h"
#include "placement/factkeys.h"
#include "placement/internal/markboard.h"
#include "placement/internal/recordcounts.h"
#include "placement/internal/servicetables.h"
#include "placement/slotassignment.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"
#include "store/storekeys.h"
#include "store/types/storedvalue.h"
#include "telemetry/itimeline.h"
#include "upstreams/iupstreams.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace radishladder::placement {
namespace {
constexpr std::uint64_t kHomeKeySeed = 0x686f6d65;
constexpr std::size_t kHomePartitions = 256;
constexpr std::chrono::milliseconds kStartingGrace{2000};

//! A ramping upstream keeps its slots: what exceeds its pace is asked for again, and no flow goes
//! off the table.
bool takesNewFlows(upstreams::UpstreamState state)
{
    return state == upstreams::UpstreamState::Ready || state == upstreams::UpstreamState::Ramping;
}

//! Slot in the largest possible table, from which the slot in any smaller one follows: tables may
//! grow while records are held.
std::uint32_t widestSlot(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash >> 32) & (kMostSlots - 1);
}

std::uint64_t hashOfSlot(std::uint32_t widest)
{
    return static_cast<std::uint64_t>(widest) << 32;
}

membership::ISharedFacts::Value bytesOf(std::uint64_t value)
{
    membership::ISharedFacts::Value bytes(sizeof value);
    for (std::size_t i = 0; i < sizeof value; ++i) {
        bytes[i] = static_cast<std::uint8_t>(value >> (8 * i));
    }
    return bytes;
}
}

//! One service as the flow path sees it.
struct ServiceState
{
    settings::Service description;
    bool configured = false;

    //! Named by the configuration that is being applied.
    bool listed = false;
    ServiceTables tables;
    std::chrono::steady_clock::time_point oldestUsedAt{};
    std::uint64_t releasedEpoch = 0;
};

struct EpochPlacement::State
{
    State(distribution::IDocumentFeed &feed, membership::ISharedFacts &facts,
          upstreams::IUpstreams &upstreams, telemetry::ITimeLine &timeLine)
        : feed(feed), facts(facts), upstreams(upstreams), timeLine(timeLine)
    { }

    distribution::IDocumentFeed &feed;
    membership::ISharedFacts &facts;
    upstreams::IUpstreams &upstreams;
    telemetry::ITimeLine &timeLine;

    std::vector<std::unique_ptr<ServiceState>> services;
    std::map<std::pair<net::Endpoint, std::uint8_t>, ServiceIndex> servicesByAddress;
    std::unordered_map<ServiceName, ServiceIndex> servicesByName;
    std::vector<UpstreamEntry> entries;
    MarkBoard marks{this->facts};
    std::unordered_map<std::uint64_t, UpstreamIndex> entriesByWireId;
    std::unordered_map<UpstreamName, UpstreamIndex> entriesByName;

    //! Configured upstreams that take no new flows now.
    std::map<UpstreamIndex, TimePoint> unusable;
    std::set<DataCentreName> dataCentresOut;
    RecordCounts records;
    TimePoint lastTick{};

    ServiceIndex serviceIndex(const ServiceName &name);
    UpstreamIndex upstreamIndex(std::uint64_t wireId);
    UpstreamIndex resolve(std::uint64_t wireId) const;
};

ServiceIndex EpochPlacement::State::serviceIndex(const ServiceName &name)
{
    const auto [found, isNew] =
        this->servicesByName.try_emplace(name, static_cast<ServiceIndex>(this->services.size()));
    if (isNew) {
        this->services.push_back(std::make_unique<ServiceState>());
    }
    return found->second;
}

UpstreamIndex EpochPlacement::State::upstreamIndex(std::uint64_t wireId)
{
    const auto [found, isNew] =
        this->entriesByWireId.try_emplace(wireId, static_cast<UpstreamIndex>(this->entries.size()));
    if (isNew) {
        this->entries.push_back({.wireId = wireId});
        this->marks.append(wireId);
    }
    return found->second;
}

UpstreamIndex EpochPlacement::State::resolve(std::uint64_t wireId) const
{
    const auto found = this->entriesByWireId.find(wireId);
    return found == this->entriesByWireId.end() ? kNoUpstream : found->second;
}

EpochPlacement::EpochPlacement(settings::IConfigurationSource &configuration,
                               distribution::IDocumentFeed &feed, membership::ISharedFacts &facts,
                               upstreams::IUpstreams &upstreams, telemetry::ITimeLine &timeLine)
    : state(std::make_unique<State>(feed, facts, upstreams, timeLine))
{
    this->applyConfiguration(*configuration.current());
    configuration.subscribe(
        [this](const settings::Configuration &accepted) { this->applyConfiguration(accepted); });
    feed.subscribe(std::string(store::kEpochPrefix), [this](const store::StoredValue &document) {
        this->applyDocument(document.key, document.value);
    });
    upstreams.subscribe(
        [this](const UpstreamName &name, upstreams::UpstreamState, upstreams::UpstreamState) {
            const auto found = this->state->entriesByName.find(name);
            if (found != this->state->entriesByName.end()) {
                this->updateUsable(found->second);
            }
        });
    facts.subscribe(
        [this](const VmName &, const std::string &key, const auto &) { this->applyMark(key); });
}

EpochPlacement::~EpochPlacement() = default;

std::uint64_t EpochPlacement::wireIdOf(const settings::Upstream &upstream)
{
    return hash64(upstream.name.str() + "@" + net::endpointText(upstream.tunnel));
}

void EpochPlacement::applyConfiguration(const settings::Configuration &configuration)
{
    State &state = *this->state;
    std::set<DataCentreName> out;
    for (const settings::DataCentre &dataCentre : configuration.dataCentres) {
        if (dataCentre.out) {
            out.insert(dataCentre.name);
        }
    }
    const bool isOutChanged = out != state.dataCentresOut;
    state.dataCentresOut = std::move(out);
    for (const auto &service : state.services) {
        service->listed = false;
    }
    for (const settings::Service &service : configuration.services) {
        const ServiceIndex index = state.serviceIndex(service.name);
        ServiceState &held = *state.services[index];
        held.listed = true;
        if (isOutChanged || !held.configured || held.description != service) {
            this->dropService(index);
            this->applyService(index, service);
        }
    }
    for (ServiceIndex index = 0; index < state.services.size(); ++index) {
        if (!state.services[index]->listed) {
            this->dropService(index);
        }
    }
    this->updateOwnMarks();
}

void EpochPlacement::dropService(ServiceIndex index)
{
    State &state = *this->state;
    ServiceState &service = *state.services[index];
    service.configured = false;
    const settings::Service &old = service.description;
    const auto address =
        state.servicesByAddress.find({old.address, static_cast<std::uint8_t>(old.protocol)});
    if (address != state.servicesByAddress.end() && address->second == index) {
        state.servicesByAddress.erase(address);
    }
    for (const settings::Upstream &upstream : old.upstreams) {
        const UpstreamIndex upstreamIndex = state.resolve(wireIdOf(upstream));
        UpstreamEntry &entry = state.entries[upstreamIndex];
        entry.configured = false;
        entry.dataCentreOut = state.dataCentresOut.contains(entry.upstream.dataCentre);
        state.unusable.erase(upstreamIndex);
        const auto named = state.entriesByName.find(upstream.name);
        if (named != state.entriesByName.end() && named->second == upstreamIndex) {
            state.entriesByName.erase(named);
        }
    }
}

void EpochPlacement::applyService(ServiceIndex index, const settings::Service &service)
{
    State &state = *this->state;
    ServiceState &held = *state.services[index];
    held.description = service;
    held.configured = true;
    state.servicesByAddress[{service.address, static_cast<std::uint8_t>(service.protocol)}] = index;
    for (const settings::Upstream &upstream : service.upstreams) {
        const UpstreamIndex upstreamIndex = state.upstreamIndex(wireIdOf(upstream));
        UpstreamEntry &entry = state.entries[upstreamIndex];
        entry.upstream = upstream;
        entry.service = index;
        entry.configured = true;
        entry.dataCentreOut = state.dataCentresOut.contains(upstream.dataCentre);
        state.entriesByName[upstream.name] = upstreamIndex;
        this->updateUsable(upstreamIndex);
    }
    held.tables.resolveAgain([&state](std::uint64_t wireId) { return state.resolve(wireId); });
}

void EpochPlacement::applyDocument(const std::string &key, const std::string &value)
{
    State &state = *this->state;
    EpochCodec codec;
    const auto document = codec.decode(value);
    const ServiceName name(key.substr(store::kEpochPrefix.size()));
    if (!document) {
        state.timeLine.record({.kind = "epoch.refused",
                               .service = name,
                               .reason = codec.lastReason().code,
                               .detail = codec.lastReason().detail});
        return;
    }
    const ServiceIndex index = state.serviceIndex(name);
    ServiceState &service = *state.services[index];
    for (const auto &[wireId, member] : document->members) {
        UpstreamEntry &entry = state.entries[state.upstreamIndex(wireId)];
        if (entry.upstream.name.isEmpty()) {
            entry.upstream = {
                .name = member.name, .dataCentre = member.dataCentre, .tunnel = member.tunnel};
            entry.service = index;
            entry.configured = false;
            entry.dataCentreOut = state.dataCentresOut.contains(member.dataCentre);
        }
    }
    const bool isTaken = service.tables.accept(
        *document, [&state](std::uint64_t wireId) { return state.resolve(wireId); });
    if (isTaken) {
        service.oldestUsedAt = std::max(service.oldestUsedAt, state.lastTick);
        state.timeLine.record({.kind = document->newestActive ? "epoch.active" : "epoch.announced",
                               .service = name,
                               .subject = std::to_string(document->tables.back().epoch)});
    }
}

void EpochPlacement::applyMark(const std::string &factKey)
{
    const auto wireId = markedWireId(factKey);
    if (!wireId) {
        return;
    }
    // Known before the configuration that names the upstream has arrived: the entry is filled in
    // later.
    const UpstreamIndex index = this->state->upstreamIndex(*wireId);
    this->state->marks.learn(index, factKey);
}

std::optional<ServiceIndex> EpochPlacement::service(const net::Endpoint &address,
                                                    std::uint8_t protocol) const
{
    const auto found = this->state->servicesByAddress.find({address, protocol});
    if (found == this->state->servicesByAddress.end()
        || this->state->services[found->second]->tables.isEmpty()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<ServiceIndex> EpochPlacement::find(const ServiceName &service) const
{
    const auto found = this->state->servicesByName.find(service);
    return found == this->state->servicesByName.end() ? std::nullopt
                                                      : std::make_optional(found->second);
}

const settings::Service &EpochPlacement::description(ServiceIndex service) const
{
    return this->state->services[service]->description;
}

const ServiceTables &EpochPlacement::tables(ServiceIndex service) const
{
    return this->state->services[service]->tables;
}

SlotView EpochPlacement::view(ServiceIndex service, std::uint64_t hash) const
{
    const ServiceTables &tables = this->state->services[service]->tables;
    SlotView view;
    if (tables.isEmpty()) {
        // Records of other VMs may arrive before the service's first document.
        view.contested = true;
        return view;
    }
    const std::size_t slot = tables.slotOf(hash);
    view.oldest = tables.oldest(slot);
    view.current = tables.current(slot);
    const MarkBoard &marks = this->state->marks;
    const bool isMarked = view.current != kNoUpstream && marks.isMarked(view.current);
    view.contested = isMarked || tables.differs(slot);
    view.settled = (isMarked && marks.isSettled(view.current)) || tables.differsSettled(slot);
    return view;
}

std::uint64_t EpochPlacement::homeKey(ServiceIndex service, std::uint64_t hash) const
{
    const std::string &name = this->state->services[service]->description.name.str();
    return hash64(name, kHomeKeySeed) + (hash >> 32) % kHomePartitions;
}

const UpstreamEntry &EpochPlacement::upstream(UpstreamIndex index) const
{
    return this->state->entries[index];
}

std::optional<UpstreamIndex> EpochPlacement::findWireId(std::uint64_t wireId) const
{
    const UpstreamIndex index = this->state->resolve(wireId);
    return index == kNoUpstream ? std::nullopt : std::make_optional(index);
}

void EpochPlacement::alternatives(ServiceIndex service, std::uint64_t hash,
                                  std::vector<UpstreamIndex> &result) const
{
    result.clear();
    for (const settings::Upstream &upstream :
         this->state->services[service]->description.upstreams) {
        const UpstreamIndex index = this->state->resolve(wireIdOf(upstream));
        if (index != kNoUpstream && !this->state->unusable.contains(index)) {
            result.push_back(index);
        }
    }
    std::ranges::sort(result, std::greater<>(), [this, hash](UpstreamIndex index) {
        return rendezvousScore(hash, this->state->entries[index].upstream.name.str());
    });
}

void EpochPlacement::noteOldestUsed(ServiceIndex service, TimePoint now)
{
    this->state->services[service]->oldestUsedAt = now;
}

void EpochPlacement::recordAdded(ServiceIndex service, std::uint64_t hash, UpstreamIndex upstream)
{
    this->state->records.add({service, widestSlot(hash), upstream});
}

void EpochPlacement::recordRemoved(ServiceIndex service, std::uint64_t hash, UpstreamIndex upstream)
{
    this->state->records.remove({service, widestSlot(hash), upstream});
}

bool EpochPlacement::isUsable(const UpstreamEntry &entry) const
{
    return this->isOpen(entry) && takesNewFlows(this->state->upstreams.state(entry.upstream.name));
}

bool EpochPlacement::isOpen(const UpstreamEntry &entry) const
{
    return entry.configured && !entry.upstream.drain && !entry.dataCentreOut;
}

void EpochPlacement::updateUsable(UpstreamIndex index)
{
    if (this->isUsable(this->state->entries[index])) {
        this->state->unusable.erase(index);
    } else {
        this->state->unusable.try_emplace(index, this->state->lastTick);
    }
}

void EpochPlacement::tick(TimePoint now)
{
    this->state->lastTick = now;
    this->updateOwnMarks();
    this->state->marks.updateSettled(now);
    this->updateReleased(now);
}

void EpochPlacement::updateOwnMarks()
{
    State &state = *this->state;
    std::set<UpstreamIndex> wanted;
    for (auto &[index, since] : state.unusable) {
        if (since == TimePoint{}) {
            since = state.lastTick;
        }
        // A VM that has just started takes every upstream for cold until it has heard of the
        // others.
        const bool isStarting = state.upstreams.state(state.entries[index].upstream.name)
            == upstreams::UpstreamState::Starting;
        if (!isStarting || !this->isOpen(state.entries[index])
            || state.lastTick - since >= kStartingGrace) {
            wanted.insert(index);
        }
    }
    state.records.forEach([&](const RecordCounts::Key &key) {
        const ServiceTables &tables = state.services[key.service]->tables;
        const UpstreamIndex current =
            tables.isEmpty() ? kNoUpstream : tables.current(tables.slotOf(hashOfSlot(key.slot)));
        if (current != key.upstream && current != kNoUpstream) {
            wanted.insert(current);
        }
    });
    state.marks.state(std::move(wanted));
}

void EpochPlacement::updateReleased(TimePoint now)
{
    State &state = *this->state;
    std::set<ServiceIndex> offNewest;
    state.records.forEach([&](const RecordCounts::Key &key) {
        const ServiceTables &tables = state.services[key.service]->tables;
        const std::size_t slot = tables.slotOf(hashOfSlot(key.slot));
        if (tables.differs(slot) && tables.newest(slot) != key.upstream) {
            offNewest.insert(key.service);
        }
    });
    for (ServiceIndex index = 0; index < state.services.size(); ++index) {
        ServiceState &service = *state.services[index];
        const auto &tables = service.tables.document().tables;
        const std::string key = releasedKey(service.description.name);
        if (tables.size() < 2) {
            if (service.releasedEpoch != 0) {
                service.releasedEpoch = 0;
                state.facts.withdraw(key);
            }
            continue;
        }
        const bool isIdle = service.oldestUsedAt + service.description.idleLimit < now;
        const std::uint64_t oldest = tables.front().epoch;
        if (isIdle && !offNewest.contains(index) && service.releasedEpoch < oldest) {
            service.releasedEpoch = oldest;
            // The next table is now the oldest; flows that rely on it get a whole idle limit again.
            service.oldestUsedAt = now;
            state.facts.publish(key, bytesOf(oldest));
        }
    }
}
}
