#include "upstreams/upstreamregistry.h"

#include "upstreams/types/upstreamrecord.h"

#include <algorithm>

namespace radishladder::upstreams {
UpstreamRegistry::UpstreamRegistry(std::chrono::milliseconds keepGone) : keepGone(keepGone) { }

UpstreamRegistry::~UpstreamRegistry() = default;

void UpstreamRegistry::update(const Upstream &upstream, TimePoint now)
{
    const auto known = this->records.find(upstream.id);
    if (known == this->records.end()) {
        this->insert(upstream, now);
        return;
    }
    UpstreamRecord &record = *known->second;
    if (record.upstream.service != upstream.service) {
        this->forget(upstream.id);
        this->insert(upstream, now);
        return;
    }
    record.upstream = upstream;
    record.heardAt = now;
    record.warmAt = now + upstream.warmupLeft;
    this->setPresence(record, Presence::Present, now);
}

void UpstreamRegistry::insert(const Upstream &upstream, TimePoint now)
{
    auto record = std::make_unique<UpstreamRecord>();
    record->upstream = upstream;
    record->presenceSince = now;
    record->heardAt = now;
    record->warmAt = now + upstream.warmupLeft;
    this->claimToken(*record);
    this->services[upstream.service].push_back(record.get());
    this->records.emplace(upstream.id, std::move(record));
}

void UpstreamRegistry::claimToken(UpstreamRecord &record)
{
    UpstreamRecord *&holder = this->tokens[flowToken(record.upstream.id)];
    const bool isFirst =
        holder == nullptr || record.upstream.createdRevision < holder->upstream.createdRevision;
    record.tokenTaken = !isFirst;
    if (isFirst) {
        if (holder != nullptr) {
            holder->tokenTaken = true;
        }
        holder = &record;
    }
}

void UpstreamRegistry::remove(UpstreamId id, bool isStoreStable, TimePoint now)
{
    const auto known = this->records.find(id);
    if (known == this->records.end() || known->second->presence == Presence::Gone) {
        return;
    }
    // A draining upstream said that it would leave, so its absence needs no second proof.
    const bool isExpected = isStoreStable || known->second->upstream.draining;
    this->setPresence(*known->second, isExpected ? Presence::Gone : Presence::Doubtful, now);
}

std::vector<UpstreamId> UpstreamRegistry::confirmGone(TimePoint now)
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
    this->doubtful += next == Presence::Doubtful ? 1 : 0;
    this->doubtful -= record.presence == Presence::Doubtful ? 1 : 0;
    record.presence = next;
    record.presenceSince = now;
}

void UpstreamRegistry::sweep(TimePoint now)
{
    std::vector<UpstreamId> old;
    for (const auto &[id, record] : this->records) {
        if (record->presence == Presence::Gone && now - record->presenceSince > this->keepGone) {
            old.push_back(id);
        }
    }
    for (const UpstreamId id : old) {
        this->forget(id);
    }
}

void UpstreamRegistry::forget(UpstreamId id)
{
    const auto known = this->records.find(id);
    UpstreamRecord &record = *known->second;
    std::erase(this->services[record.upstream.service], &record);
    this->releaseToken(record);
    this->doubtful -= record.presence == Presence::Doubtful ? 1 : 0;
    this->records.erase(known);
}

void UpstreamRegistry::releaseToken(const UpstreamRecord &record)
{
    const std::uint32_t token = flowToken(record.upstream.id);
    if (this->tokens[token] != &record) {
        return;
    }
    this->tokens.erase(token);
    for (const auto &[id, other] : this->records) {
        if (other.get() != &record && flowToken(id) == token) {
            this->claimToken(*other);
        }
    }
}

const UpstreamRecord *UpstreamRegistry::find(UpstreamId id) const
{
    const auto known = this->records.find(id);
    return known == this->records.end() ? nullptr : known->second.get();
}

const UpstreamRecord *UpstreamRegistry::findByToken(std::uint32_t token) const
{
    const auto known = this->tokens.find(token);
    return known == this->tokens.end() ? nullptr : known->second;
}

const std::vector<UpstreamRecord *> &UpstreamRegistry::ofService(const ServiceName &service) const
{
    static const std::vector<UpstreamRecord *> kNone;
    const auto known = this->services.find(service);
    return known == this->services.end() ? kNone : known->second;
}

bool UpstreamRegistry::any(const std::function<bool(const UpstreamRecord &)> &holds) const
{
    return std::ranges::any_of(this->records,
                               [&holds](const auto &entry) { return holds(*entry.second); });
}

std::vector<UpstreamId> UpstreamRegistry::live() const
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
