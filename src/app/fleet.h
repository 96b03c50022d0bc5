#pragma once

#include "distribution/documentfeed.h"
#include "distribution/documentserver.h"
#include "distribution/httpdocumentsource.h"
#include "global/seededrandom.h"
#include "membership/membership.h"
#include "membership/peertransport.h"
#include "membership/sharedfacts.h"
#include "operations/configurationfollower.h"
#include "settings/configurationholder.h"

#include <memory>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IDatagramSocket;
class IEventLoop;
class IHttpClient;
}
namespace radishladder::settings {
struct VmSettings;
}
namespace radishladder::store {
class IConfigStore;
}
namespace radishladder::telemetry {
class IMetrics;
class ITimeLine;
}

namespace radishladder::app {

//! What one VM shares with the others: heartbeats, facts and documents.
class Fleet
{
public:
    Fleet(const settings::VmSettings &settings, net::IDatagramSocket &socket,
          net::IHttpClient &client, store::IConfigStore &store, const IClock &clock,
          telemetry::ITimeLine &timeLine, telemetry::IMetrics &metrics);

    //! Receives and sends on \a loop from now on.
    void run(net::IEventLoop &loop);

    SeededRandom random;
    membership::PeerTransport transport;
    membership::Membership membership;
    membership::SharedFacts facts;
    distribution::HttpDocumentSource source;
    distribution::DocumentFeed feed;
    distribution::DocumentServer server;
    settings::ConfigurationHolder configuration;
    operations::ConfigurationFollower follower;

private:
    void followVmList(telemetry::ITimeLine &timeLine);
    void tick();

    net::IDatagramSocket &socket;
};
}
