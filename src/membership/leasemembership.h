#pragma once

#include "global/name.h"
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
class IContactListener;
class IStore;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::membership {

//! Membership by one leased key a VM. A member whose key went stays known for a while, so that a
//! lease lost in an outage does not make its neighbours take over what it still does.
class LeaseMembership : public IMembership, public store::IPrefixListener
{
public:
    LeaseMembership(store::IStore &store, net::IEventLoop &loop, const IClock &clock,
                    telemetry::IEventLog &log, VmName self, DataCentreName dataCentre,
                    std::optional<RelayOffer> relay);

    //! Tells \a listener whether calls on the lease are answered.
    void watchContact(store::IContactListener &listener) { this->contactListener = &listener; }

    //! Prefix of the keys of the members in \a dataCentre.
    static std::string prefix(const DataCentreName &dataCentre);

    //! Starts to hold this VM's own key.
    void join();

    //! Gives the own key up, before a planned stop.
    void leave();

    //! A neighbour tells at once when the store is lost or back, so this VM asks less often.
    void setLiveRelay(bool isLive) { this->hasLiveRelay = isLive; }

    //! Asks the store now whether it answers, instead of with the next renewal.
    void check();

    //! A neighbour has lost the store: treats it as lost until it answers this VM.
    void suspectStore(const std::string &detail);

    const std::vector<VmName> &members() const override { return this->current; }
    std::optional<RelayOffer> relayOf(const VmName &member) const override;
    bool isSettled() const override;

    void onSnapshot(const std::vector<store::StoreItem> &items) override;
    void onChanges(const std::vector<store::StoreItem> &items) override;
    void onContactLost(const std::string &detail) override;
    void onContactRegained() override;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    bool counts(const Member &member) const;
    void rebuild();
    void note(const store::StoreItem &item);
    void acquire();
    void publish();
    void keep();
    void keepLater();
    void later(std::chrono::milliseconds delay, void (LeaseMembership::*step)());
    void noteTrouble(const std::string &detail);
    void noteAnswer();
    std::chrono::milliseconds nextRetry();
    void retry(void (LeaseMembership::*step)(), const std::string &detail);

    store::IStore &store;
    net::IEventLoop &loop;
    const IClock &clock;
    telemetry::IEventLog &log;
    VmName self;
    DataCentreName dataCentre;
    std::optional<RelayOffer> relay;
    std::uint64_t lease = 0;
    store::IContactListener *contactListener = nullptr;
    bool inTrouble = false;
    bool hasLiveRelay = false;

    //! Of the timer that counts; earlier ones are void.
    std::uint64_t timer = 0;

    //! What the timer does; null while a call is on its way.
    void (LeaseMembership::*nextStep)() = nullptr;
    TimePoint calledAt;
    std::chrono::milliseconds retryInterval;
    bool acquiring = false;
    bool leaving = false;
    std::optional<TimePoint> joinedAt;

    std::map<VmName, Member> known;

    //! What members() shows; built anew with each listing.
    std::vector<VmName> current;
};
}
