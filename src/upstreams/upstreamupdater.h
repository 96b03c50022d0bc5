#pragma once

#include "upstreams/iupstreamlistener.h"
#include "upstreams/types/upstream.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace radishladder {
class IClock;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::upstreams {
class UpstreamRegistry;

//! Applies the entries of the store to the registry and decides when a missing entry means that the
//! upstream has ended.
class UpstreamUpdater : public IUpstreamListener
{
public:
    UpstreamUpdater(UpstreamRegistry &registry, const IClock &clock, telemetry::IEventLog &log);

    void onListingBegins() override { this->rejectedInListing.clear(); }
    void onUpstreamsListed(const std::vector<Upstream> &all) override;
    void onUpstreamChanged(const Upstream &upstream) override;
    void onUpstreamRemoved(UpstreamId id) override;
    void onUpstreamRejected(const std::string &key, UpstreamId id,
                            const std::string &detail) override;
    void onConnectionLost(const std::string &detail) override;
    void onUpToDate(std::chrono::steady_clock::time_point confirmedAt) override;
    void onEraChanged() override;
    void onConnectionRestored() override;

    //! Marks doubtful upstreams as gone once the store has been stable for long enough; must be
    //! called a few times per second.
    void tick();

    //! Returns true while tick() only awaits a confirmation of the listing to mark doubtful
    //! upstreams as gone or to apply entries that were held back.
    bool needsConfirmation() const;

private:
    bool isStoreStable() const;
    //! Returns true if \a confirmedAt is late enough that a listing confirmed then includes all
    //! entries that were written again after the store was last unstable.
    bool includesReregistrations(std::chrono::steady_clock::time_point confirmedAt) const;
    //! Returns true if \a listed, in a listing of a restored store, is older than the known entry
    //! of the upstream, or equal to it although the upstream has ended since. \a wasHeldBack says
    //! whether an earlier listing had an entry of the upstream that was held back.
    bool isOutdated(const Upstream &listed, bool wasHeldBack) const;
    void holdBack(const Upstream &listed);
    void apply(const Upstream &upstream);
    void endRecovery();
    void remove(UpstreamId id);
    void recordRemovals(std::size_t count);

    UpstreamRegistry &registry;
    const IClock &clock;
    telemetry::IEventLog &log;

    bool isConnected = true;

    //! Last time at which the store was unreachable, was restored, was first listed, or had many
    //! entries removed at once.
    std::optional<std::chrono::steady_clock::time_point> unstableAt;

    //! True after the store was restored from an older copy, until a listing has been confirmed
    //! that includes what upstreams wrote again.
    bool isRecovering = false;

    //! Entries of the restored store that are not applied until their upstreams write again; those
    //! of another start than the known one only until the end of the recovery.
    std::unordered_map<UpstreamId, Upstream> heldBack;

    //! Upstreams whose entries were rejected since the last listing began.
    std::unordered_set<UpstreamId> rejectedInListing;

    std::chrono::steady_clock::time_point removalWindowStart;
    std::size_t removalCount = 0;

    //! Live upstreams at removalWindowStart.
    std::size_t liveAtWindowStart = 0;
};
}
