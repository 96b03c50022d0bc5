#pragma once

#include "global/name.h"
#include "membership/imembership.h"
#include "store/iprefixlistener.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

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
                    telemetry::IEventLog &log, VmName self, DataCentreName dataCentre);

    //! Tells \a listener whether calls on the lease are answered.
    void watchContact(store::IContactListener &listener) { this->contactListener = &listener; }

    //! Prefix under which the members' keys stand.
    static std::string prefix();

    //! Starts to hold this VM's own key.
    void join();

    //! Gives the own key up, before a planned stop.
    void leave();

    std::vector<VmName> members(const DataCentreName &dataCentre) const override;
    std::vector<VmName> allMembers() const override;

    void onSnapshot(const std::vector<store::StoreItem> &items) override;
    void onChanges(const std::vector<store::StoreItem> &items) override;
    void onContactLost(const std::string &detail) override;
    void onContactRegained() override;

private:
    struct Member
    {
        DataCentreName dataCentre;

        //! Set when the key went; the member still counts for a while.
        std::chrono::steady_clock::time_point leftAt = std::chrono::steady_clock::time_point::max();
    };

    bool counts(const Member &member) const;
    void note(const store::StoreItem &item);
    void acquire();
    void publish();
    void keep();
    void keepLater();
    void noteAnswer();
    void retry(void (LeaseMembership::*step)(), const std::string &detail);

    store::IStore &store;
    net::IEventLoop &loop;
    const IClock &clock;
    telemetry::IEventLog &log;
    VmName self;
    DataCentreName dataCentre;
    std::uint64_t lease = 0;
    store::IContactListener *contactListener = nullptr;
    bool inTrouble = false;
    bool acquiring = false;
    bool leaving = false;
    std::map<VmName, Member> known;
};
}
