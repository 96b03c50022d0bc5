#include "distribution/changecache.h"

#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotage.h"
#include "store/types/readkind.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
//! Longer than the interval of lease renewals, whose responses show that the store is reachable
//! while nothing changes.
constexpr std::chrono::milliseconds kMaxResponseAge{2600};

//! Longer than two watches with the longest wait, the second of which got no response.
constexpr std::chrono::milliseconds kMaxConfirmationAge{12000};

//! Longer than the interval between two listings of a prefix that is listed periodically.
constexpr std::chrono::milliseconds kMaxPolledAge{6000};
}

ChangeCache::ChangeCache()
{
    this->eraTracker.addListener([this](std::uint64_t, std::uint64_t) { this->onNewEra(); });
}

void ChangeCache::onNewEra()
{
    for (const auto &[prefix, snapshot] : this->snapshots) {
        this->unconfirmed.insert(prefix);
    }
    this->listedAt.clear();
    this->notifyListener();
}

std::uint64_t ChangeCache::dataEra() const
{
    std::optional<store::StoreRevision> oldest;
    for (const auto &[prefix, snapshot] : this->snapshots) {
        if (snapshot.isWhole()) {
            oldest = std::min(oldest.value_or(snapshot.storeRevision()), snapshot.storeRevision());
        }
    }
    return oldest ? oldest->era : 0;
}

void ChangeCache::recordResponse(BootTime now)
{
    this->lastResponseAt = now;
    this->dataReadAt = now;
}

void ChangeCache::recordWatchPending(const std::string &prefix, BootTime now)
{
    this->watchedSince[prefix] = now;
}

void ChangeCache::recordAnsweredCall(BootTime sentAt)
{
    for (const auto &[prefix, since] : this->watchedSince) {
        if (sentAt >= since) {
            this->freshAt[prefix] = std::max(this->freshAt[prefix], sentAt);
        }
    }
}

void ChangeCache::recordStoreLost()
{
    this->lastResponseAt.reset();
    for (const auto &[prefix, log] : this->logs) {
        this->unconfirmed.insert(prefix);
    }
    this->notifyListener();
}

bool ChangeCache::hasSnapshot(const std::string &prefix) const
{
    const auto snapshot = this->snapshots.find(prefix);
    return snapshot != this->snapshots.end() && snapshot->second.isWhole();
}

std::optional<std::chrono::milliseconds> ChangeCache::dataAge(BootTime now) const
{
    const bool hasData = std::ranges::any_of(
        this->snapshots, [](const auto &entry) { return entry.second.isWhole(); });
    if (!hasData) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - this->dataReadAt);
}

bool ChangeCache::isConnected(BootTime now) const
{
    return this->lastResponseAt && now - *this->lastResponseAt <= kMaxResponseAge;
}

void ChangeCache::recordWatch(const std::string &prefix, std::uint64_t after)
{
    this->logs[prefix].append(after, {.revision = after, .era = this->era()});
}

void ChangeCache::addChanges(const std::string &prefix, std::uint64_t after,
                             const store::StoreListing &changes, BootTime confirmedUntil)
{
    if (!this->acceptsEraOf(changes)) {
        return;
    }
    this->unconfirmed.erase(prefix);
    this->confirmedAt[prefix] = confirmedUntil;
    this->logs[prefix].append(after, changes);
    this->snapshots[prefix].applyChanges(after, changes);
    if (!changes.items.empty()) {
        this->notifyListener();
    }
}

void ChangeCache::addPage(const std::string &prefix, store::ReadKind kind,
                          const std::string &afterKey, const store::StoreListing &page,
                          BootTime confirmedUntil, BootTime now)
{
    if (!this->acceptsEraOf(page)) {
        return;
    }
    PrefixSnapshot &snapshot = this->snapshots[prefix];
    snapshot.addPage(afterKey, page);
    this->listedAt[prefix] = now;
    if (kind == store::ReadKind::Linearizable && afterKey.empty()) {
        this->confirmedAt[prefix] = confirmedUntil;
    }
    const auto listing = snapshot.listing();
    if (kind == store::ReadKind::Stale || !listing) {
        return;
    }
    this->recordResponse(now);
    this->unconfirmed.erase(prefix);
    this->recordWatch(prefix, listing->revision);
    this->notifyListener();
}

void ChangeCache::addRelayedListing(const std::string &prefix, const store::StoreListing &listing,
                                    BootTime readAt)
{
    if (!this->acceptsEraOf(listing)) {
        return;
    }
    this->dataReadAt = std::max(this->dataReadAt, readAt);
    this->confirmedAt[prefix] = readAt;
    this->snapshots[prefix].addPage("", listing);
    this->listedAt.erase(prefix);
    this->logs.erase(prefix);
    this->notifyListener();
}

void ChangeCache::addRelayedChanges(const std::string &prefix, std::uint64_t after,
                                    const store::StoreListing &changes, BootTime confirmedUntil,
                                    BootTime now)
{
    if (!this->acceptsEraOf(changes)) {
        return;
    }
    this->dataReadAt = now;
    this->confirmedAt[prefix] = confirmedUntil;
    this->snapshots[prefix].applyChanges(after, changes);
}

void ChangeCache::stopRelaying(const std::string &prefix)
{
    if (this->logs.erase(prefix) > 0) {
        this->notifyListener();
    }
}

bool ChangeCache::acceptsEraOf(const store::StoreListing &listing)
{
    return this->eraTracker.accept(listing.era);
}

void ChangeCache::notifyListener() const
{
    if (this->listener) {
        this->listener();
    }
}

bool ChangeCache::canServeChanges(const std::string &prefix, BootTime now) const
{
    // Responses to other calls don't show that the watch of this prefix still works.
    return this->logs.contains(prefix) && !this->unconfirmed.contains(prefix)
        && this->isConnected(now) && this->ageOf(prefix, now) <= kMaxConfirmationAge;
}

bool ChangeCache::wasListedRecently(const std::string &prefix, BootTime now) const
{
    const auto listed = this->listedAt.find(prefix);
    return listed != this->listedAt.end() && now - listed->second <= kMaxPolledAge;
}

bool ChangeCache::isFreshEnough(const std::string &prefix, SnapshotAge age, BootTime now) const
{
    switch (age) {
    case SnapshotAge::New:
        return this->canServeChanges(prefix, now);
    case SnapshotAge::Polled:
        return this->canServeChanges(prefix, now) || this->wasListedRecently(prefix, now);
    case SnapshotAge::Any:
        break;
    }
    return true;
}

std::chrono::milliseconds ChangeCache::ageOf(const std::string &prefix, BootTime now) const
{
    const auto confirmed = this->confirmedAt.find(prefix);
    const BootTime since =
        confirmed == this->confirmedAt.end() ? this->dataReadAt : confirmed->second;
    return std::chrono::ceil<std::chrono::milliseconds>(now - since);
}

std::chrono::milliseconds ChangeCache::freshAgeOf(const std::string &prefix, BootTime now) const
{
    const auto fresh = this->freshAt.find(prefix);
    const auto age = this->ageOf(prefix, now);
    return fresh == this->freshAt.end()
        ? age
        : std::min(age, std::chrono::ceil<std::chrono::milliseconds>(now - fresh->second));
}

RelayResponse ChangeCache::snapshot(const std::string &prefix, SnapshotAge age, BootTime now) const
{
    const auto snapshot = this->snapshots.find(prefix);
    if (snapshot == this->snapshots.end() || !this->isFreshEnough(prefix, age, now)) {
        return {.outcome = RelayOutcome::Unavailable};
    }
    auto listing = snapshot->second.listing();
    if (!listing) {
        return {.outcome = RelayOutcome::Unavailable};
    }
    return {.outcome = RelayOutcome::Changes,
            .listing = std::move(*listing),
            .age = this->ageOf(prefix, now),
            .freshAge = this->freshAgeOf(prefix, now)};
}

RelayResponse ChangeCache::changesAfter(const std::string &prefix, std::uint64_t after,
                                        BootTime now) const
{
    if (!this->canServeChanges(prefix, now)) {
        return {.outcome = RelayOutcome::Unavailable};
    }
    const ChangeLog &log = this->logs.at(prefix);
    auto items = log.changesAfter(after);
    if (!items) {
        return {.outcome = RelayOutcome::Unavailable};
    }
    RelayResponse response{.outcome = RelayOutcome::NoChanges,
                           .age = this->ageOf(prefix, now),
                           .freshAge = this->freshAgeOf(prefix, now)};
    response.listing.status = store::StoreStatus::Ok;
    response.listing.revision = std::max(after, log.lastRevision());
    response.listing.era = this->era();
    if (!items->empty()) {
        response.outcome = RelayOutcome::Changes;
        response.listing.items = std::move(*items);
    }
    return response;
}
}
