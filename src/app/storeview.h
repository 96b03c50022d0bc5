#pragma once

#include "distribution/changeboard.h"
#include "distribution/fanoutstore.h"
#include "distribution/relayserver.h"
#include "membership/leasemembership.h"
#include "platform/operatorfeed.h"
#include "platform/storeclient.h"
#include "platform/upstreamfeed.h"
#include "routing/routingkeeper.h"
#include "store/icontactlistener.h"
#include "store/prefixfollower.h"
#include "store/prefixpoller.h"
#include "switches/freezeswitch.h"
#include "upstreams/upstreamkeeper.h"

#include <functional>
#include <memory>

namespace radishladder {
class IClock;
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

//! All that this VM hears from the store, itself or through neighbours, and tells them of it.
class StoreView : private store::IContactListener
{
public:
    using Connect =
        std::function<std::unique_ptr<net::IHttpConnection>(const net::Endpoint &server)>;
    using ContactHandler = std::function<void(bool answers)>;

    StoreView(const settings::VmSettings &settings, net::IEventLoop &loop, const IClock &clock,
              telemetry::IEventLog &log, routing::RouteTable &routes,
              upstreams::UpstreamRegistry &registry, const Connect &connect);
    ~StoreView() override;

    //! Begins to follow the store; \a handler hears whether it answers.
    void start(ContactHandler handler);

    //! Call it a few times a second.
    void tick();

    //! Gives up what only a running VM holds, before a planned stop.
    void leave() { this->members.leave(); }

    const membership::IMembership &membership() const { return this->members; }
    distribution::RelayServer &relay() { return this->relayServer; }

    //! Operators want nothing to change unless a person changes it.
    bool isFrozen() const { return this->freeze.isFrozen(); }

    //! Calls to the store so far.
    const platform::CallCounts &calls() const { return this->store.calls(); }

private:
    void onStoreTrouble(const std::string &detail) override;
    void onStoreReturned() override;
    void startWithMembers();
    void startAfterMembers();
    void follow();

    net::IEventLoop &loop;
    bool firstStart;
    platform::StoreClient store;
    distribution::ChangeBoard board;
    distribution::FanoutStore fanout;
    distribution::RelayServer relayServer;
    membership::LeaseMembership members;
    upstreams::UpstreamKeeper upstreamKeeper;
    routing::RoutingKeeper routingKeeper;
    platform::UpstreamFeed upstreamFeed;
    platform::OperatorFeed operatorFeed;
    store::PrefixFollower upstreamFollower;
    store::PrefixFollower operatorFollower;
    store::PrefixPoller memberPoller;
    switches::FreezeSwitch freeze;
    store::PrefixPoller freezePoller;
    ContactHandler contactHandler;
    bool isFollowing = false;
};
}
