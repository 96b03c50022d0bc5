#pragma once

#include "global/name.h"

#include <chrono>
#include <map>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IHttpClient;
struct HttpResult;
}
namespace radishladder::settings {
struct Upstream;
}

namespace radishladder::upstreams {
class Upstreams;

//! Asks the upstreams that this VM has to probe for their load.
class LoadProber
{
public:
    LoadProber(Upstreams &upstreams, net::IHttpClient &client, const IClock &clock);

    //! Sends the probes that are due; call it once a probe period.
    void tick();

private:
    void probe(const settings::Upstream &upstream);
    void finish(const UpstreamName &upstream, const net::HttpResult &result);

    Upstreams &upstreams;
    net::IHttpClient &client;
    const IClock &clock;
    std::map<UpstreamName, bool> isRunning;
};
}
