#pragma once

#include "distribution/changecache.h"
#include "distribution/relayedstore.h"
#include "distribution/relayserver.h"
#include "membership/leasemembership.h"
#include "platform/operatorprefixlistener.h"
#include "platform/storeclient.h"
#include "platform/upstreamprefixlistener.h"
#include "routing/routingupdater.h"
#include "store/delaybudget.h"
#include "store/iconnectionlistener.h"
#include "store/prefixfollower.h"
#include "store/prefixpoller.h"
#include "switches/freezeswitch.h"
#include "upstreams/upstreamupdater.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace radishladder {
class IClock;
}
namespace radishladder::flows {
struct FlowDecision;
}
namespace radishladder::net {
class IEventLoop;
class IHttpConnection;
struct Endpoint;
}
namespace radishladder::routing {
class RouteTable;
}
namespace radishladder::settings {
struct VmSettings;
}
namespace radishladder::telemetry {
class IEventLog;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
}

namespace radishladder::app {

//! Receives the content of the store, directly or through peers, applies it to the routes and the
//! upstream registry, and serves it to peers.
class StoreView : private store::IConnectionListener
{
public:
    using ConnectionFactory =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &server)>;
    using ConnectionHandler = std::function<void(bool isConnected)>;
    using AddressHandler = std::function<void(const std::vector<net::Endpoint> &relays)>;

    StoreView(const settings::VmSettings &settings, net::IEventLoop &loop, const IClock &clock,
              telemetry::IEventLog &log, routing::RouteTable &routes,
              upstreams::UpstreamRegistry &registry, const ConnectionFactory &connect);
    ~StoreView() override;

    //! Joins the membership and starts the followers; \a handler is called when the connection to
    //! the store is lost or restored.
    void start(ConnectionHandler handler);

    //! Sets the function that is called when the members have been listed for the first time:
    //! before the configuration and the upstreams are, unless the store is slow.
    void setMembersListedHandler(std::function<void()> handler)
    {
        this->membersListedHandler = std::move(handler);
    }

    //! Lists the relay addresses of the VMs of all data centres, which may be seconds old;
    //! \a handler is not called if the store refuses the call.
    void listFleet(AddressHandler handler);

    //! Must be called a few times per second.
    void tick();

    //! Ends this VM's membership; called before a planned stop.
    void leave() { this->leaseMembership.leave(); }

    //! Requests the newest changes that \a decision needs from the store.
    void confirm(const flows::FlowDecision &decision);

    const membership::IMembership &membership() const { return this->leaseMembership; }
    distribution::RelayServer &relay() { return this->relayServer; }

    //! Returns true while operators have frozen automatic actions, so that only operators
    //! make changes.
    bool isFrozen() const { return this->freezeSwitch.isFrozen(); }

    //! Returns the number of calls to the store since the start, by purpose.
    const platform::CallCounts &calls() const { return this->store.calls(); }

    //! Returns the newest known era of the store; 0 if there is none.
    std::uint64_t era() { return this->relayedStore.eras().newestEra().value_or(0); }

private:
    void onStoreLost(const std::string &detail) override;
    void onStoreRestored() override;
    void onEraChanged(std::uint64_t oldEra, std::uint64_t newEra);
    void startAfterMemberList();
    void startAfterRelays();
    void reportMembers();
    void startFollowers();
    //! Sets the delays between calls to the store, which depend on whether this VM is a relay and
    //! on the configuration.
    void updatePacing();

    //! Lets changes that bring new flows to upstreams take effect only after all changes of the
    //! upstreams that the store accepted before them.
    void awaitUpstreams();
    void onUpstreamsDelivered();
    void onOperatorDelivered();

    net::IEventLoop &loop;
    telemetry::IEventLog &log;
    bool isFirstStart;
    store::DelayBudget upstreamDelays;
    store::DelayBudget operatorDelays;
    platform::StoreClient store;
    distribution::ChangeCache changeCache;
    distribution::RelayedStore relayedStore;
    distribution::RelayServer relayServer;
    membership::LeaseMembership leaseMembership;
    upstreams::UpstreamUpdater upstreamUpdater;
    routing::RoutingUpdater routingUpdater;
    platform::UpstreamPrefixListener upstreamListener;
    platform::OperatorPrefixListener operatorListener;
    store::PrefixFollower upstreamFollower;
    store::PrefixFollower operatorFollower;
    store::PrefixPoller memberPoller;
    switches::FreezeSwitch freezeSwitch;
    store::PrefixPoller freezePoller;
    ConnectionHandler connectionHandler;
    std::function<void()> membersListedHandler;
    bool isFollowing = false;

    //! Revision that the upstreams must have reached before evacuations end; std::nullopt if none
    //! has ended.
    std::optional<store::StoreRevision> awaitedRevision;
    routing::RouteTable &routes;
    bool hasConfiguration = false;
    bool areMembersReported = false;
};
}
