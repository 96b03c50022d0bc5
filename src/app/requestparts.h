#pragma once

#include "requests/irequesthandler.h"

#include <memory>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IEventLoop;
class IHttpClient;
}
namespace radishladder::requests {
class RequestEngine;
}
namespace radishladder::settings {
struct VmSettings;
}
namespace radishladder::telemetry {
class IMetrics;
}
namespace radishladder::upstreams {
class Upstreams;
}

namespace radishladder::app {
class Fleet;

//! The decisions about requests, wired to what the fleet shares.
class RequestParts
{
public:
    RequestParts(const settings::VmSettings &settings, Fleet &fleet,
                 upstreams::Upstreams &upstreams, net::IHttpClient &client,
                 telemetry::IMetrics &metrics, const IClock &clock);
    ~RequestParts();

    void run(net::IEventLoop &loop, const IClock &clock);

private:
    //! nullptr if a baseline handles the requests; initialised before the handler that sets it.
    requests::RequestEngine *engine = nullptr;

public:
    std::unique_ptr<requests::IRequestHandler> handler;
};
}
