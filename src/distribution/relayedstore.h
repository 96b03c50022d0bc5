#pragma once

#include "distribution/relayclient.h"
#include "distribution/snapshotofferer.h"
#include "distribution/startlister.h"
#include "store/eratracker.h"
#include "store/iconnectionlistener.h"
#include "store/istore.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
namespace radishladder::store {
class DelayBudget;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::distribution {
class ChangeCache;
class RelayDeadlines;
struct RelayEra;

//! Store client that sends listings and watches to a relay while a relay can serve them. Every
//! other call, and every request that a relay fails to serve, goes to the store itself.
class RelayedStore : public store::IStore, public store::IConnectionListener
{
public:
    RelayedStore(store::IStore &store, ChangeCache &cache, net::IEventLoop &loop,
                 const IClock &clock, telemetry::IEventLog &log,
                 const RelayClient::ConnectionFactory &connect, VmName self,
                 std::vector<net::Endpoint> seeds);
    ~RelayedStore() override;

    //! Sets the membership from which the relays of this VM are chosen; without it every watch goes
    //! to the store.
    void setMembership(const membership::IMembership &members)
    {
        this->relayClient.setMembership(members);
        this->snapshotOfferer.setMembership(members);
    }

    //! Returns the tracker of the newest era, which checks every response to this object's calls.
    store::EraTracker &eras() { return this->eraTracker; }

    //! Returns true if this VM has relays, whether they respond or not.
    bool hasRelay() const { return this->relayClient.hasRelay(); }

    //! Returns true if this VM is a relay for its peers.
    bool isRelay() const { return this->relayClient.isRelay(); }

    //! Sets the time within which changes under \a prefix must reach this VM; without it a relay
    //! that responds is used whatever the age of its data.
    void setBudget(const std::string &prefix, const store::DelayBudget &budget);

    void list(const std::string &prefix, const std::string &afterKey, store::ReadKind kind,
              ListingHandler handler) override;
    void watch(const std::string &prefix, std::uint64_t revision, std::chrono::milliseconds wait,
               ListingHandler handler) override;
    void readChanges(const std::string &prefix, std::uint64_t revision,
                     ListingHandler handler) override;
    void cancel(const std::string &prefix) override;
    void grantLease(std::chrono::milliseconds timeToLive, LeaseHandler handler) override;
    void renewLease(std::uint64_t lease, LeaseHandler handler) override;
    void endLease(std::uint64_t lease, StatusHandler handler) override;
    void write(const store::StoreWrite &write, StatusHandler handler) override;

    void onStoreLost(const std::string &detail) override;
    void onStoreRestored() override;

    //! Sets the function that is called when a relay reports that the store is lost or responds
    //! again.
    void setConnectionHandler(RelayClient::ConnectionHandler handler)
    {
        this->relayClient.setConnectionHandler(std::move(handler));
    }

    //! Sets the function that is called when this VM, as a relay, watches a prefix again after a
    //! pause. Its data is as old as the pause until the store answers another call, which the
    //! function makes.
    void setPauseEndHandler(std::function<void()> handler)
    {
        this->pauseEndHandler = std::move(handler);
    }

    //! Returns true if a relay has responded recently and thus would report at once that the store
    //! is lost, responds again or was restored from an older copy.
    bool hasLiveRelay() const;

    //! Handles the offer of another VM to send its snapshots; returns true if this VM needs them.
    bool acceptOffer(const SnapshotOffer &offer) { return this->startLister.acceptOffer(offer); }

    //! Queries seeds and relays, offers the snapshots of this VM, and closes idle connections; must
    //! be called several times a second.
    void tick();

private:
    struct Listing;
    struct ListingState;
    struct SendTime;
    struct Watch;
    using TimePoint = std::chrono::steady_clock::time_point;

    SendTime sendTime() const;
    RelayEra requestEra() const;

    //! Returns \a response to a call sent at \a sentAt, or a failure if its era is older than the
    //! known one.
    store::StoreListing checked(const store::StoreListing &response, TimePoint sentAt);
    store::StoreLease checked(const store::StoreLease &response, TimePoint sentAt);
    bool acceptEraOf(std::uint64_t era, TimePoint sentAt);

    //! Returns the time until which \a response of a relay includes all changes.
    TimePoint confirmationOf(const RelayResponse &response, const SendTime &sent) const;

    //! Creates the state of a listing whose result \a handler receives exactly once.
    Listing beginListing(const std::string &prefix, const std::string &afterKey,
                         store::ReadKind kind, ListingHandler handler);
    void listFromStore(const Listing &listing);
    void onPage(const Listing &listing, const store::StoreListing &page, const SendTime &sent);
    void listFromRelay(const net::Endpoint &relay, const Listing &listing);
    void listFromFurtherSources(const net::Endpoint &firstRelay, const Listing &listing);
    void onRelayFailed(const net::Endpoint &relay, const Listing &listing);
    void onRelayListing(const Listing &listing, const RelayResponse &response,
                        const SendTime &sent);
    void watchAtStore(const Watch &watch);
    void watchThroughRelay(const net::Endpoint &relay, const Watch &watch);
    void onRelayChanges(const net::Endpoint &relay, const Watch &watch,
                        const std::optional<RelayResponse> &response, const SendTime &sent);
    //! Continues a watch that \a relay could not serve in time through another relay, or at the
    //! store.
    void watchElsewhere(const net::Endpoint &relay, const Watch &watch);

    //! Returns the age of the data of this VM if neither the store nor a relay responds; otherwise
    //! std::nullopt.
    std::optional<std::chrono::milliseconds> ageIfDisconnected() const;

    store::IStore &store;
    ChangeCache &cache;
    net::IEventLoop &loop;
    const IClock &clock;
    store::EraTracker eraTracker;
    RelayClient relayClient;
    StartLister startLister;
    SnapshotOfferer snapshotOfferer;
    bool isStoreLost = false;

    //! Time of the last call whose response showed the newest era.
    TimePoint eraShownAt;

    std::unique_ptr<RelayDeadlines> deadlines;

    //! Prefixes of which changes were received from the store since the last watch.
    std::set<std::string> pausedPrefixes;
    std::function<void()> pauseEndHandler;

    //! State of the last listing by prefix, shared with the callbacks of the listing.
    std::map<std::string, std::shared_ptr<ListingState>> listings;
};
}
