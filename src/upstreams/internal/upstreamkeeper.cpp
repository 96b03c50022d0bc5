#include "upstreams/upstreamkeeper.h"

#include "global/iclock.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>
#include <unordered_set>

namespace radishladder::upstreams {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;

//! Live upstreams write their entries again within two seconds of the store's return.
constexpr std::chrono::milliseconds kReturnTime{2300};

//! Entries that go together within this time were not ended one by one.
constexpr std::chrono::milliseconds kMassWindow{1000};
constexpr std::size_t kMassLeast = 4;

//! One in this many upstreams going together is a mass removal.
constexpr std::size_t kMassShare = 2;

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

UpstreamKeeper::UpstreamKeeper(UpstreamRegistry &registry, const IClock &clock,
                               telemetry::IEventLog &log)
    : registry(registry), clock(clock), log(log)
{ }

void UpstreamKeeper::onUpstreams(const std::vector<Upstream> &all)
{
    std::unordered_set<UpstreamId> listed;
    for (const Upstream &upstream : all) {
        listed.insert(upstream.id);
        this->onUpstream(upstream);
    }
    std::vector<UpstreamId> missing;
    for (const UpstreamId id : this->registry.live()) {
        const bool isDoubtful = this->registry.find(id)->presence == Presence::Doubtful;
        if (!listed.contains(id) && !isDoubtful) {
            missing.push_back(id);
        }
    }
    this->noteRemovals(missing.size());
    for (const UpstreamId id : missing) {
        this->remove(id);
    }
    if (!this->registry.isSynchronized()) {
        this->registry.setSynchronized();
        this->unstableAt = this->clock.now();
    }
}

void UpstreamKeeper::onUpstream(const Upstream &upstream)
{
    const UpstreamRecord *known = this->registry.find(upstream.id);
    if (known == nullptr || known->presence != Presence::Present || known->upstream != upstream) {
        logUpstream(this->log, known == nullptr ? "upstream.added" : "upstream.changed", upstream);
    }
    this->registry.update(upstream, this->clock.now());
}

void UpstreamKeeper::onUpstreamRemoved(UpstreamId id)
{
    this->noteRemovals(1);
    this->remove(id);
}

void UpstreamKeeper::remove(UpstreamId id)
{
    const bool isStable = this->isStoreStable();
    this->registry.remove(id, isStable, this->clock.now());
    this->log.write(LogEntry(LogKind::State, "upstream.removed")
                        .text("upstream", upstreamIdText(id))
                        .text("trust", isStable ? "ended" : "doubtful"));
}

void UpstreamKeeper::noteRemovals(std::size_t count)
{
    const auto now = this->clock.now();
    if (now - this->removalsSince > kMassWindow) {
        this->removalsSince = now;
        this->removals = 0;
    }
    this->removals += count;
    const std::size_t live = this->registry.live().size();
    if (this->removals >= kMassLeast && this->removals * kMassShare >= live) {
        this->unstableAt = now;
    }
}

void UpstreamKeeper::onUpstreamRejected(const std::string &key, UpstreamId id,
                                        const std::string &detail)
{
    this->log.write(
        LogEntry(LogKind::State, "upstream.rejected").text("key", key).text("detail", detail));
    this->registry.remove(id, true, this->clock.now());
}

void UpstreamKeeper::onContactLost(const std::string &detail)
{
    this->contact = false;
    this->unstableAt = this->clock.now();
    this->registry.setTrusted(false);
    this->log.write(
        LogEntry(LogKind::State, "store.lost").text("for", "upstreams").text("detail", detail));
}

void UpstreamKeeper::onUpToDate()
{
    this->registry.setConfirmed(this->clock.now());
}

void UpstreamKeeper::onContactRegained()
{
    this->contact = true;
    this->unstableAt = this->clock.now();
    this->log.write(LogEntry(LogKind::State, "store.regained").text("for", "upstreams"));
}

bool UpstreamKeeper::isStoreStable() const
{
    return this->contact
        && (!this->unstableAt || this->clock.now() - *this->unstableAt >= kReturnTime);
}

void UpstreamKeeper::tick()
{
    const auto now = this->clock.now();
    const bool isStable = this->isStoreStable();
    this->registry.setTrusted(isStable && this->registry.isSynchronized());
    if (this->registry.hasDoubtful() && isStable) {
        for (const UpstreamId id : this->registry.confirmGone(now)) {
            this->log.write(
                LogEntry(LogKind::State, "upstream.ended").text("upstream", upstreamIdText(id)));
        }
    }
    this->registry.sweep(now);
}
}
