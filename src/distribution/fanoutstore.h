#pragma once

#include "distribution/relayclient.h"
#include "distribution/startlister.h"
#include "store/icontactlistener.h"
#include "store/istore.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::net {
class IEventLoop;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::distribution {
class ChangeBoard;

//! The platform's store, whose listings and watches go through a neighbour while that one can tell;
//! every other call, and what a neighbour fails to answer, goes to the store itself.
class FanoutStore : public store::IStore, public store::IContactListener
{
public:
    FanoutStore(store::IStore &platform, ChangeBoard &board, net::IEventLoop &loop,
                const IClock &clock, telemetry::IEventLog &log,
                const RelayClient::ConnectionFactory &connect, VmName self,
                std::vector<net::Endpoint> seeds);
    ~FanoutStore() override;

    //! Says through whom this VM may follow; without it every watch goes to the store.
    void setMembership(const membership::IMembership &known) { this->relays.setMembership(known); }

    //! True if this VM may follow the store through a neighbour.
    bool hasRelay() const { return this->relays.hasRelay(); }

    void list(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
              ListingHandler handler) override;
    void watch(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait,
               ListingHandler handler) override;
    void abandon(const std::string &prefix) override;
    void grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler) override;
    void renewLease(std::uint64_t lease, LeaseHandler handler) override;
    void endLease(std::uint64_t lease, StatusHandler handler) override;
    void write(const store::StoreWrite &write, StatusHandler handler) override;

    void onStoreTrouble(const std::string &detail) override;
    void onStoreReturned() override;

    //! Hears from a neighbour that the store is lost, or answers again.
    void watchContact(RelayClient::ContactHandler handler)
    {
        this->relays.watchContact(std::move(handler));
    }

    //! True if a neighbour that is followed would tell at once that the store is lost or back.
    bool hasLiveRelay() const { return this->relays.hasLiveRelay(); }

    //! Call it a few times a second.
    void tick();

private:
    struct Listing;
    struct Watch;

    //! The listing that \a handler hears of once.
    Listing begin(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
                  ListingHandler handler);
    void listStore(const Listing &listing);
    void onPage(const Listing &listing, const store::StoreListing &page);
    void listRelay(const net::Endpoint &relay, const Listing &listing);
    void watchStore(const Watch &watch);
    void watchRelay(const net::Endpoint &relay, const Watch &watch);

    store::IStore &platform;
    ChangeBoard &board;
    net::IEventLoop &loop;
    const IClock &clock;
    RelayClient relays;
    StartLister starter;
    bool inTrouble = false;

    //! Set as soon as a listing is answered or given up.
    std::map<std::string, std::shared_ptr<bool>> listingOver;
};
}
