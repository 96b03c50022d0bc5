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

//! Keeps the registry in step with the store and decides when a missing entry proves an end.
class UpstreamKeeper : public IUpstreamListener
{
public:
    UpstreamKeeper(UpstreamRegistry &registry, const IClock &clock, telemetry::IEventLog &log);

    void onUpstreams(const std::vector<Upstream> &all) override;
    void onUpstream(const Upstream &upstream) override;
    void onUpstreamRemoved(UpstreamId id) override;
    void onUpstreamRejected(const std::string &key, UpstreamId id,
                            const std::string &detail) override;
    void onContactLost(const std::string &detail) override;
    void onUpToDate() override;
    void onContactRegained() override;

    //! Ends what has been doubtful for long enough; call it a few times a second.
    void tick();

private:
    bool isStoreStable() const;
    void remove(UpstreamId id);
    void noteRemovals(std::size_t count);

    UpstreamRegistry &registry;
    const IClock &clock;
    telemetry::IEventLog &log;

    bool contact = true;

    //! Last moment at which the store, or what it said, could not be trusted.
    std::optional<std::chrono::steady_clock::time_point> unstableAt;

    std::chrono::steady_clock::time_point removalsSince;
    std::size_t removals = 0;
};
}
