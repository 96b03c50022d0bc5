#pragma once

#include "requests/irequesthandler.h"
#include "requests/types/requestoptions.h"

#include <chrono>
#include <memory>

namespace radishladder {
class IClock;
class IRandom;
}
namespace radishladder::membership {
class IMembership;
class IPeerTransport;
}
namespace radishladder::net {
class IHttpClient;
}
namespace radishladder::settings {
class IConfigurationSource;
}
namespace radishladder::telemetry {
class IMetrics;
}
namespace radishladder::upstreams {
class ISlotHolders;
class IUpstreams;
}

namespace radishladder::requests {

//! What the request engine works with; all of it outlives the engine.
struct RequestSurroundings
{
    settings::IConfigurationSource &source;
    upstreams::IUpstreams &upstreams;
    upstreams::ISlotHolders &holders;
    membership::IMembership &membership;
    membership::IPeerTransport &transport;
    net::IHttpClient &client;
    telemetry::IMetrics &metrics;
    const IClock &clock;
    IRandom &random;
};

//! Takes each request to one true outcome, within the limits of the upstreams, and runs a
//! non-idempotent one at most once.
class RequestEngine : public IRequestHandler
{
public:
    RequestEngine(const RequestSurroundings &surroundings, const RequestOptions &options);
    ~RequestEngine() override;

    void handle(net::HttpRequest request, std::shared_ptr<net::IHttpResponder> responder) override;
    void stopAccepting() override;
    std::size_t running() const override;

    //! Serves the queue, ends what has no time left, notices callers that went away; call it about
    //! a hundred times a second.
    void tick(std::chrono::steady_clock::time_point now);

private:
    class State;
    std::unique_ptr<State> state;
};
}
