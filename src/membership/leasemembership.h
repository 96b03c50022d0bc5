#pragma once

#include "global/name.h"
#include "global/seededrandom.h"
#include "membership/imembership.h"
#include "membership/types/member.h"
#include "store/iprefixlistener.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IEventLoop;
}
namespace radishladder::store {
class IConnectionListener;
class IStore;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::membership {

//! Determines the members from one leased key per VM. A member whose key has disappeared remains
//! listed for a grace period, so that its peers do not take over its work when only its lease
//! expired in a store outage.
class LeaseMembership : public IMembership, public store::IPrefixListener
{
public:
    LeaseMembership(store::IStore &store, net::IEventLoop &loop, const IClock &clock,
                    telemetry::IEventLog &log, VmName self, DataCentreName dataCentre,
                    std::optional<RelayOffer> relay);

    //! Sets the listener that is notified when calls for the lease start to fail or succeed again.
    void setConnectionListener(store::IConnectionListener &listener)
    {
        this->connectionListener = &listener;
    }

    //! Returns the prefix of the keys of the members in \a dataCentre.
    static std::string prefix(const DataCentreName &dataCentre);

    //! Returns the prefix of the keys of the members in all data centres.
    static std::string fleetPrefix();

    //! Returns the relay addresses in the keys of members \a items.
    static std::vector<net::Endpoint> relayAddresses(const std::vector<store::StoreItem> &items);

    //! Acquires a lease, publishes this VM's key with it and keeps the lease renewed.
    void join();

    //! Ends the lease, which deletes this VM's key; called before a planned stop.
    void leave();

    //! Sets whether a relay notifies this VM at once when the store is lost or restored; this VM
    //! then calls the store less often.
    void setLiveRelay(bool isLive) { this->hasLiveRelay = isLive; }

    //! Time between two renewals of a VM without a live relay; also bounds the time until a store
    //! failure is detected.
    static constexpr std::chrono::milliseconds kRenewInterval{2000};

    //! Sets another interval: relays show by their renewals that they reach the store.
    void setRenewInterval(std::chrono::milliseconds interval) { this->renewInterval = interval; }

    //! Makes the next scheduled call to the store at once to check whether the store responds.
    void checkStore();

    //! Handles a peer's notification that the peer lost the store: reports the store as lost until
    //! the store responds to this VM, and checks the store at once.
    void suspectStore(const std::string &detail);

    //! Acquires a new lease and publishes the key with it, at a random time soon: the store was
    //! restored, so the lease may be gone or belong to another VM.
    void onNewEra(std::uint64_t era);

    const std::vector<VmName> &members() const override { return this->memberNames; }
    std::optional<RelayOffer> relayOfferOf(const VmName &member) const override;
    bool isSettled() const override;

    //! Returns true once the store, or a relay, has listed the members.
    bool hasListed() const { return this->isListed; }

    void onSnapshot(const std::vector<store::StoreItem> &items) override;
    void onChanges(const std::vector<store::StoreItem> &items) override;
    void onConnectionLost(const std::string &detail) override;
    void onConnectionRestored() override;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Returns true while the key of \a member exists and during the grace period after that.
    bool isCurrent(const Member &member) const;
    void rebuildMemberNames();
    void recordMember(const store::StoreItem &item);
    void acquireLease();
    void publishKey();
    void renew();
    void scheduleRenewal();
    //! Handles a response of a newer era than that of the lease.
    void replaceLease();
    void scheduleNewLease();
    bool isLeaseOutdated() const { return this->leaseEra < this->newestEra; }
    void schedule(std::chrono::milliseconds delay, void (LeaseMembership::*step)());
    void recordFailure(const std::string &detail);
    void recordResponse();
    std::chrono::milliseconds nextRetryDelay();
    //! Handles a failed call for the lease; \a step is the call to repeat.
    void retry(void (LeaseMembership::*step)(), const std::string &detail);
    void scheduleRetry(void (LeaseMembership::*step)(), const std::string &detail);

    store::IStore &store;
    net::IEventLoop &loop;
    const IClock &clock;
    telemetry::IEventLog &log;
    VmName self;
    DataCentreName dataCentre;
    std::optional<RelayOffer> relay;
    SeededRandom random;
    std::uint64_t leaseId = 0;

    //! Era of the store in which the lease was granted, and the newest known era.
    std::uint64_t leaseEra = 0;
    std::uint64_t newestEra = 0;
    store::IConnectionListener *connectionListener = nullptr;
    bool isStoreLost = false;
    bool hasLiveRelay = false;
    std::chrono::milliseconds renewInterval;

    //! Number of the latest timer; timers with an earlier number do nothing when they expire.
    std::uint64_t timerGeneration = 0;

    //! Step to run when the timer expires; null while a call is in progress.
    void (LeaseMembership::*nextStep)() = nullptr;
    TimePoint callStartedAt;
    std::chrono::milliseconds retryInterval;
    bool isAcquiring = false;
    bool isLeaving = false;
    bool isListed = false;
    std::optional<TimePoint> joinedAt;

    std::map<VmName, Member> membersByName;

    //! Names returned by members(); rebuilt after each listing or change.
    std::vector<VmName> memberNames;
};
}
