#pragma once

#include "upstreams/iupstreamlistener.h"

#include <chrono>
#include <cstddef>
#include <optional>

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

    void onUpstreamsListed(const std::vector<Upstream> &all) override;
    void onUpstreamChanged(const Upstream &upstream) override;
    void onUpstreamRemoved(UpstreamId id) override;
    void onUpstreamRejected(const std::string &key, UpstreamId id,
                            const std::string &detail) override;
    void onConnectionLost(const std::string &detail) override;
    void onUpToDate(std::chrono::steady_clock::time_point confirmedAt) override;
    void onConnectionRestored() override;

    //! Marks doubtful upstreams as gone once the store has been stable for long enough; must be
    //! called a few times per second.
    void tick();

    //! Returns true while tick() only awaits a confirmation of the listing to mark doubtful
    //! upstreams as gone.
    bool needsConfirmation() const;

private:
    bool isStoreStable() const;
    //! Returns true if the listing includes all entries that were written again after the store was
    //! last unstable.
    bool includesReregistrations() const;
    void remove(UpstreamId id);
    void recordRemovals(std::size_t count);

    UpstreamRegistry &registry;
    const IClock &clock;
    telemetry::IEventLog &log;

    bool isConnected = true;

    //! Last time at which the store was unreachable, was restored, was first listed, or had many
    //! entries removed at once.
    std::optional<std::chrono::steady_clock::time_point> unstableAt;

    std::chrono::steady_clock::time_point removalWindowStart;
    std::size_t removalCount = 0;

    //! Live upstreams at removalWindowStart.
    std::size_t liveAtWindowStart = 0;
};
}
