#pragma once

#include "upstreams/islotholders.h"
#include "upstreams/iupstreams.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IMembership;
class ISharedFacts;
}
namespace radishladder::settings {
class IConfigurationSource;
struct Configuration;
struct Upstream;
}
namespace radishladder::telemetry {
class ITimeLine;
}

namespace radishladder::upstreams {
struct LoadReport;

//! States from reports, own observations and other VMs; limits from the platform's list of VMs.
class Upstreams : public IUpstreams, public ISlotHolders
{
public:
    Upstreams(settings::IConfigurationSource &source, membership::IMembership &membership,
              membership::ISharedFacts &facts, telemetry::ITimeLine &timeLine, const IClock &clock);
    ~Upstreams() override;

    UpstreamState state(const UpstreamName &upstream) const override;
    bool admitRequest(const UpstreamName &upstream, TimePoint now) override;
    void requestEnded(const UpstreamName &upstream, Observation observation,
                      std::chrono::milliseconds latency, TimePoint now) override;
    bool admitFlow(const UpstreamName &upstream, TimePoint now) override;
    void flowEnded(const UpstreamName &upstream, TimePoint now) override;
    void subscribe(Subscriber subscriber) override;
    std::vector<VmName> holders(const UpstreamName &upstream) const override;

    //! States that this VM uses no slot any more and never will again; call it when nothing runs.
    void announceRelease();

    //! True once all VMs know what announceRelease() has stated.
    bool isReleaseKnown(TimePoint now) const;

    //! Follows the list of VMs, ends held states, grows proven allowances; call it twice a second
    //! or more.
    void tick(TimePoint now);

    //! Upstreams that this VM has to probe.
    std::vector<settings::Upstream> probeDuties() const;

    void probeAnswered(const UpstreamName &upstream, const LoadReport &report, TimePoint now);
    void probeFailed(const UpstreamName &upstream, Observation observation, TimePoint now);

private:
    struct Entry;
    struct State;

    void configure(const settings::Configuration &configuration);
    void learnFact(const VmName &origin, const std::string &key,
                   const std::optional<std::vector<std::uint8_t>> &value);
    void learnDigest(Entry &entry, const VmName &origin, const std::vector<std::uint8_t> &value);
    void followMembers(TimePoint now);
    void settleShares(TimePoint now);
    bool isReleased(TimePoint now) const;
    void assignProbers(Entry &entry);
    void update(Entry &entry, TimePoint now);
    void publish(Entry &entry, TimePoint now);
    Entry *find(const UpstreamName &upstream) const;

    std::unique_ptr<State> parts;
};
}
