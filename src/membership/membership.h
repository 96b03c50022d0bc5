#pragma once

#include "membership/imembership.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace radishladder {
class IClock;
class IRandom;
}
namespace radishladder::telemetry {
class IMetrics;
class ITimeLine;
}

namespace radishladder::membership {
class IHeartbeatExtension;
class IPeerTransport;
struct ListedVm;

//! Membership by heartbeats, suspicion and gossip; its load on a VM does not depend on the fleet.
class Membership : public IMembership
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using AddressUser = std::function<void(const std::vector<ListedVm> &)>;
    using AcknowledgedAt = std::function<std::optional<TimePoint>(const VmName &)>;

    //! \a self holds the incarnation to start with, which must grow with each start of the VM.
    Membership(const Member &self, IPeerTransport &transport, IRandom &random, const IClock &clock,
               telemetry::ITimeLine &timeLine, telemetry::IMetrics &metrics);
    ~Membership() override;

    const VmName &self() const override;
    std::vector<Member> members() const override;
    const Member *find(const VmName &name) const override;
    std::vector<VmName> ranked(std::uint64_t key, std::size_t count) const override;
    bool isConfident(TimePoint now) const override;
    bool isRevisionKnownByAll(std::int64_t revision, TimePoint now) const override;
    void reportOwn(std::uint64_t generation, std::int64_t documentRevision) override;
    void subscribe(Subscriber subscriber) override;

    //! Number of known VMs, this one included.
    std::size_t vmCount() const;

    //! Reports the newest document that this VM holds, though it may lack earlier ones.
    void reportNewestDocument(std::int64_t revision);

    //! Sends \a extension's bytes along with every heartbeat and answer.
    void attach(IHeartbeatExtension &extension);

    //! Tells \a user the addresses of VMs whenever they change.
    void onAddresses(AddressUser user);

    //! Takes the platform's list; ignored unless \a revision is newer than the last one.
    void applyVmList(std::int64_t revision, const std::vector<ListedVm> &list);

    //! Gives the VMs of \a dataCentres no duties, unless no other VM is left.
    void keepOutOfDuties(const std::set<DataCentreName> &dataCentres);

    //! Call every 50 ms or so.
    void tick();

    //! Announces a planned stop; this VM gets no duties from then on.
    void announceLeaving();

    //! True once every VM has acknowledged, or is silent and can't be confident without what the
    //! others have acknowledged.
    bool isSettled(const AcknowledgedAt &acknowledgedAt, TimePoint now) const;

private:
    struct State;

    std::unique_ptr<State> state;
};
}
