#include "upstreams/upstreamupdater.h"

#include "global/iclock.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace radishladder::upstreams {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;

//! Live upstreams write their entries again within two seconds after the store recovers.
constexpr std::chrono::milliseconds kReregistrationTime{2300};

//! Removals within this time are counted together to detect a mass removal, after which the store
//! counts as unstable. Upstreams that end one by one do not cause it.
constexpr std::chrono::milliseconds kMassRemovalWindow{1000};

//! Fewer removals than this are never a mass removal.
constexpr std::size_t kMassRemovalMinimum = 4;

//! A mass removal affects at least one in this many of the upstreams that were live before it.
constexpr std::size_t kMassRemovalDivisor = 2;

void logUpstream(telemetry::IEventLog &log, std::string_view event, const Upstream &upstream)
{
    log.write(LogEntry(LogKind::State, event)
                  .text("upstream", upstreamIdText(upstream.id))
                  .text("service", upstream.service.str())
                  .text("data_centre", upstream.dataCentre.str())
                  .text("address", net::endpointText(upstream.address))
                  .text("state", upstream.draining ? "draining" : "ready")
                  .duration("cold_for_ms", upstream.warmupLeft)
                  .number("incarnation", upstream.incarnation));
}
}

UpstreamUpdater::UpstreamUpdater(UpstreamRegistry &registry, const IClock &clock,
                                 telemetry::IEventLog &log)
    : registry(registry), clock(clock), log(log)
{ }

void UpstreamUpdater::onUpstreamsListed(const std::vector<Upstream> &all)
{
    std::unordered_set<UpstreamId> listed;
    const auto heldBackBefore = std::exchange(this->heldBack, {});
    for (const Upstream &upstream : all) {
        listed.insert(upstream.id);
        if (this->isOutdated(upstream, heldBackBefore.contains(upstream.id))) {
            this->holdBack(upstream);
        } else {
            this->apply(upstream);
        }
    }
    std::vector<UpstreamId> missing;
    for (const UpstreamId id : this->registry.liveIds()) {
        const bool isDoubtful = this->registry.find(id)->presence == Presence::Doubtful;
        if (!listed.contains(id) && !isDoubtful && !this->rejectedInListing.contains(id)) {
            missing.push_back(id);
        }
    }
    this->recordRemovals(missing.size());
    for (const UpstreamId id : missing) {
        this->remove(id);
    }
    if (!this->registry.isSynchronized()) {
        this->registry.setSynchronized();
        this->unstableAt = this->clock.now();
    }
}

bool UpstreamUpdater::isOutdated(const Upstream &listed, bool wasHeldBack) const
{
    const UpstreamRecord *known = this->registry.find(listed.id);
    if (known == nullptr || (!this->isRecovering && !wasHeldBack)) {
        return false;
    }
    if (known->upstream.incarnation != listed.incarnation) {
        // Incarnations have no order. The entry of an earlier start would move the open flows of a
        // live upstream to an address where nothing responds; whichever start is live writes its
        // entry again during the recovery.
        return this->isRecovering && known->presence != Presence::Gone
            && known->upstream.address != listed.address;
    }
    const bool isGone = known->presence == Presence::Gone;
    return listed.sequence < known->upstream.sequence
        || (isGone && listed.sequence == known->upstream.sequence);
}

void UpstreamUpdater::holdBack(const Upstream &listed)
{
    const UpstreamRecord &known = *this->registry.find(listed.id);
    this->heldBack.insert_or_assign(listed.id, listed);
    this->log.write(LogEntry(LogKind::State, "upstream.kept")
                        .text("upstream", upstreamIdText(listed.id))
                        .text("presence", known.presence == Presence::Gone ? "ended" : "live")
                        .text("state", known.upstream.draining ? "draining" : "ready")
                        .number("sequence", known.upstream.sequence)
                        .number("sequence_listed", listed.sequence));
}

void UpstreamUpdater::onUpstreamChanged(const Upstream &upstream)
{
    this->heldBack.erase(upstream.id);
    this->apply(upstream);
}

void UpstreamUpdater::apply(const Upstream &upstream)
{
    const UpstreamRecord *previous = this->registry.find(upstream.id);
    // An entry that is written again without another change is not logged.
    Upstream expected = upstream;
    expected.sequence = previous == nullptr ? 0 : previous->upstream.sequence;
    if (previous == nullptr || previous->presence != Presence::Present
        || previous->upstream != expected) {
        logUpstream(this->log, previous == nullptr ? "upstream.added" : "upstream.changed",
                    upstream);
    }
    this->registry.update(upstream, this->clock.now());
}

void UpstreamUpdater::onUpstreamRemoved(UpstreamId id)
{
    this->heldBack.erase(id);
    this->recordRemovals(1);
    this->remove(id);
}

void UpstreamUpdater::remove(UpstreamId id)
{
    const bool isStable = !this->isRecovering && this->isStoreStable();
    if (this->isRecovering) {
        // Leases are lost with what the copy lacks, so the entry of a draining upstream may be
        // missing before the upstream has ended.
        this->registry.markDoubtful(id, this->clock.now());
    } else {
        this->registry.remove(id, isStable, this->clock.now());
    }
    this->log.write(LogEntry(LogKind::State, "upstream.removed")
                        .text("upstream", upstreamIdText(id))
                        .text("trust", isStable ? "ended" : "doubtful"));
}

void UpstreamUpdater::recordRemovals(std::size_t count)
{
    const auto now = this->clock.now();
    if (now - this->removalWindowStart > kMassRemovalWindow) {
        this->removalWindowStart = now;
        this->removalCount = 0;
        this->liveAtWindowStart = this->registry.liveIds().size();
    }
    this->removalCount += count;
    if (this->removalCount >= kMassRemovalMinimum
        && this->removalCount * kMassRemovalDivisor >= this->liveAtWindowStart) {
        this->unstableAt = now;
    }
}

void UpstreamUpdater::onUpstreamRejected(const std::string &key, UpstreamId id,
                                         const std::string &detail)
{
    this->log.write(
        LogEntry(LogKind::State, "upstream.rejected").text("key", key).text("detail", detail));
    this->heldBack.erase(id);
    this->rejectedInListing.insert(id);
    // Another writer may have replaced the entry of a live upstream, which writes its own again
    // with its next heartbeat.
    this->registry.markInvalid(id);
    if (this->isRecovering) {
        // The copy may have an invalid entry that the upstream has already replaced.
        this->registry.markDoubtful(id, this->clock.now());
    }
}

void UpstreamUpdater::onConnectionLost(const std::string &detail)
{
    this->isConnected = false;
    this->unstableAt = this->clock.now();
    this->registry.setReliable(false);
    this->log.write(
        LogEntry(LogKind::State, "store.lost").text("for", "upstreams").text("detail", detail));
}

void UpstreamUpdater::onUpToDate(std::chrono::steady_clock::time_point confirmedAt)
{
    // A restored store confirms a listing that lacks entries which it had accepted.
    if (!this->isRecovering || this->includesReregistrations(confirmedAt)) {
        this->registry.recordConfirmation(confirmedAt);
    }
}

void UpstreamUpdater::onEraChanged()
{
    this->isRecovering = true;
    this->unstableAt = this->clock.now();
    this->heldBack.clear();
    this->registry.setReliable(false);
    this->registry.discardConfirmations();
    this->log.write(LogEntry(LogKind::State, "store.relisted").text("for", "upstreams"));
}

void UpstreamUpdater::onConnectionRestored()
{
    this->isConnected = true;
    this->unstableAt = this->clock.now();
    this->log.write(LogEntry(LogKind::State, "store.regained").text("for", "upstreams"));
}

bool UpstreamUpdater::isStoreStable() const
{
    return this->isConnected
        && (!this->unstableAt || this->clock.now() - *this->unstableAt >= kReregistrationTime);
}

bool UpstreamUpdater::includesReregistrations(
    std::chrono::steady_clock::time_point confirmedAt) const
{
    return !this->unstableAt || confirmedAt >= *this->unstableAt + kReregistrationTime;
}

bool UpstreamUpdater::needsConfirmation() const
{
    return (this->registry.hasDoubtful() || !this->heldBack.empty()) && this->isStoreStable()
        && !this->includesReregistrations(this->registry.confirmedAt());
}

void UpstreamUpdater::tick()
{
    const auto now = this->clock.now();
    const bool isReliable =
        this->isStoreStable() && this->includesReregistrations(this->registry.confirmedAt());
    this->registry.setReliable(isReliable && this->registry.isSynchronized());
    if (isReliable) {
        this->endRecovery();
    }
    if (this->registry.hasDoubtful() && isReliable) {
        for (const UpstreamId id : this->registry.markDoubtfulAsGone(now)) {
            this->log.write(
                LogEntry(LogKind::State, "upstream.ended").text("upstream", upstreamIdText(id)));
        }
    }
    this->registry.sweep(now);
}

void UpstreamUpdater::endRecovery()
{
    if (!this->isRecovering) {
        return;
    }
    this->isRecovering = false;
    std::erase_if(this->heldBack, [this](const auto &entry) {
        const auto &[id, listed] = entry;
        const UpstreamRecord *known = this->registry.find(id);
        // A live upstream has written again by now, so the older entry of the known start is one of
        // an upstream that has ended, and goes with its lease.
        const bool isOlder = known != nullptr && known->upstream.incarnation == listed.incarnation;
        if (!isOlder) {
            this->apply(listed);
        }
        return !isOlder;
    });
}
}
