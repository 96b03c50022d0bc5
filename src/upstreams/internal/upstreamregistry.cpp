#include "upstreams/upstreamregistry.h"

#include "upstreams/types/upstreamrecord.h"

#include <algorithm>
#include <tuple>

namespace radishladder::upstreams {
UpstreamRegistry::UpstreamRegistry(std::chrono::milliseconds goneRetention)
    : goneRetention(goneRetention)
{ }

UpstreamRegistry::~UpstreamRegistry() = default;

void UpstreamRegistry::update(const Upstream &upstream, TimePoint now)
{
    const auto found = this->records.find(upstream.id);
    if (found == this->records.end()) {
        this->insert(upstream, now);
        return;
    }
    UpstreamRecord &record = *found->second;
    if (record.upstream.service != upstream.service) {
        this->erase(upstream.id);
        this->insert(upstream, now);
        return;
    }
    if (record.upstream.incarnation != upstream.incarnation
        || record.upstream.address != upstream.address) {
        record.startReceivedAt = now;
    }
    record.upstream = upstream;
    record.hasInvalidEntry = false;
    record.receivedAt = now;
    record.warmAt = now + upstream.warmupLeft;
    this->setPresence(record, Presence::Present, now);
    this->assignToken(flowToken(upstream.id));
}

void UpstreamRegistry::insert(const Upstream &upstream, TimePoint now)
{
    auto record = std::make_unique<UpstreamRecord>();
    record->upstream = upstream;
    record->presenceSince = now;
    record->receivedAt = now;
    record->startReceivedAt = now;
    record->warmAt = now + upstream.warmupLeft;
    const std::uint32_t token = flowToken(upstream.id);
    this->tokens[token].push_back(record.get());
    this->assignToken(token);
    this->services[upstream.service].push_back(record.get());
    this->records.emplace(upstream.id, std::move(record));
}

void UpstreamRegistry::assignToken(std::uint32_t token)
{
    std::vector<UpstreamRecord *> &holders = this->tokens[token];
    // All VMs with the same listing choose the same upstream, whenever they started: an ended one,
    // which only some of them remember, comes last, and no part of the order changes when an entry
    // lapses and is written again.
    std::ranges::sort(holders, {}, [](const UpstreamRecord *record) {
        return std::tuple(record->presence == Presence::Gone, record->upstream.incarnation,
                          record->upstream.id.value);
    });
    for (UpstreamRecord *record : holders) {
        record->hasTokenConflict = record != holders.front();
    }
}

void UpstreamRegistry::remove(UpstreamId id, bool isStoreStable, TimePoint now)
{
    const auto found = this->records.find(id);
    if (found == this->records.end() || found->second->presence == Presence::Gone) {
        return;
    }
    found->second->hasInvalidEntry = false;
    // A draining upstream has announced its end, so its missing entry needs no confirmation.
    const bool hasEnded = isStoreStable || found->second->upstream.draining;
    this->setPresence(*found->second, hasEnded ? Presence::Gone : Presence::Doubtful, now);
}

void UpstreamRegistry::markDoubtful(UpstreamId id, TimePoint now)
{
    const auto found = this->records.find(id);
    if (found != this->records.end() && found->second->presence == Presence::Present) {
        this->setPresence(*found->second, Presence::Doubtful, now);
    }
}

void UpstreamRegistry::markInvalid(UpstreamId id)
{
    const auto found = this->records.find(id);
    if (found != this->records.end()) {
        found->second->hasInvalidEntry = true;
    }
}

std::vector<UpstreamId> UpstreamRegistry::markDoubtfulAsGone(TimePoint now)
{
    std::vector<UpstreamId> ended;
    for (const auto &[id, record] : this->records) {
        if (record->presence == Presence::Doubtful) {
            this->setPresence(*record, Presence::Gone, now);
            ended.push_back(id);
        }
    }
    return ended;
}

void UpstreamRegistry::setPresence(UpstreamRecord &record, Presence next, TimePoint now)
{
    if (record.presence == next) {
        return;
    }
    this->doubtfulCount += next == Presence::Doubtful ? 1 : 0;
    this->doubtfulCount -= record.presence == Presence::Doubtful ? 1 : 0;
    record.presence = next;
    record.presenceSince = now;
    this->assignToken(flowToken(record.upstream.id));
}

void UpstreamRegistry::sweep(TimePoint now)
{
    std::vector<UpstreamId> expired;
    for (const auto &[id, record] : this->records) {
        if (record->presence == Presence::Gone
            && now - record->presenceSince > this->goneRetention) {
            expired.push_back(id);
        }
    }
    for (const UpstreamId id : expired) {
        this->erase(id);
    }
}

void UpstreamRegistry::erase(UpstreamId id)
{
    const auto found = this->records.find(id);
    UpstreamRecord &record = *found->second;
    const auto service = this->services.find(record.upstream.service);
    std::erase(service->second, &record);
    if (service->second.empty()) {
        this->services.erase(service);
    }
    this->releaseToken(record);
    this->doubtfulCount -= record.presence == Presence::Doubtful ? 1 : 0;
    this->records.erase(found);
}

void UpstreamRegistry::releaseToken(const UpstreamRecord &record)
{
    const std::uint32_t token = flowToken(record.upstream.id);
    std::erase(this->tokens[token], &record);
    if (this->tokens[token].empty()) {
        this->tokens.erase(token);
    } else {
        this->assignToken(token);
    }
}

const UpstreamRecord *UpstreamRegistry::find(UpstreamId id) const
{
    const auto found = this->records.find(id);
    return found == this->records.end() ? nullptr : found->second.get();
}

const UpstreamRecord *UpstreamRegistry::findByToken(std::uint32_t token) const
{
    const auto found = this->tokens.find(token);
    return found == this->tokens.end() ? nullptr : found->second.front();
}

const std::vector<UpstreamRecord *> &UpstreamRegistry::findByService(
    const ServiceName &service) const
{
    static const std::vector<UpstreamRecord *> kNone;
    const auto found = this->services.find(service);
    return found == this->services.end() ? kNone : found->second;
}

bool UpstreamRegistry::hasMatch(const std::function<bool(const UpstreamRecord &)> &predicate) const
{
    return std::ranges::any_of(
        this->records, [&predicate](const auto &entry) { return predicate(*entry.second); });
}

std::vector<UpstreamId> UpstreamRegistry::liveIds() const
{
    std::vector<UpstreamId> ids;
    for (const auto &[id, record] : this->records) {
        if (record->presence != Presence::Gone) {
            ids.push_back(id);
        }
    }
    return ids;
}
}
