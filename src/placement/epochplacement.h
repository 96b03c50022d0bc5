#pragma once

#include "placement/iplacement.h"

#include "global/name.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace radishladder::distribution {
class IDocumentFeed;
}
namespace radishladder::membership {
class ISharedFacts;
}
namespace radishladder::settings {
class IConfigurationSource;
struct Configuration;
}
namespace radishladder::telemetry {
class ITimeLine;
}
namespace radishladder::upstreams {
class IUpstreams;
}

namespace radishladder::placement {
class ServiceTables;

//! Placement by agreed epochs, with marks for slots that have flows off their table.
class EpochPlacement : public IPlacement
{
public:
    EpochPlacement(settings::IConfigurationSource &configuration, distribution::IDocumentFeed &feed,
                   membership::ISharedFacts &facts, upstreams::IUpstreams &upstreams,
                   telemetry::ITimeLine &timeLine);
    ~EpochPlacement() override;

    std::optional<ServiceIndex> service(const net::Endpoint &address,
                                        std::uint8_t protocol) const override;
    const settings::Service &description(ServiceIndex service) const override;
    SlotView view(ServiceIndex service, std::uint64_t hash) const override;
    std::uint64_t homeKey(ServiceIndex service, std::uint64_t hash) const override;
    const UpstreamEntry &upstream(UpstreamIndex index) const override;
    std::optional<UpstreamIndex> findWireId(std::uint64_t wireId) const override;
    void alternatives(ServiceIndex service, std::uint64_t hash,
                      std::vector<UpstreamIndex> &result) const override;
    void noteOldestUsed(ServiceIndex service, TimePoint now) override;
    void recordAdded(ServiceIndex service, std::uint64_t hash, UpstreamIndex upstream) override;
    void recordRemoved(ServiceIndex service, std::uint64_t hash, UpstreamIndex upstream) override;

    //! Publishes and withdraws marks, tells which old tables this VM no longer needs; a few times a
    //! second.
    void tick(TimePoint now);

    //! Number of \a service; std::nullopt if it is not configured.
    std::optional<ServiceIndex> find(const ServiceName &service) const;

    const ServiceTables &tables(ServiceIndex service) const;

    //! Tells an upstream apart from another one at the same address or of the same name elsewhere.
    static std::uint64_t wireIdOf(const settings::Upstream &upstream);

private:
    struct State;

    void applyConfiguration(const settings::Configuration &configuration);
    void dropService(ServiceIndex index);
    void applyService(ServiceIndex index, const settings::Service &service);
    void applyDocument(const std::string &key, const std::string &value);
    void applyMark(const std::string &factKey);
    bool isUsable(const UpstreamEntry &entry) const;
    bool isOpen(const UpstreamEntry &entry) const;
    void updateUsable(UpstreamIndex index);
    void updateOwnMarks();
    void updateReleased(TimePoint now);

    std::unique_ptr<State> state;
};
}
