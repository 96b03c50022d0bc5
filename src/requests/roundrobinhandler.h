#pragma once

#include "requests/irequesthandler.h"

#include "global/name.h"
#include "global/resultcode.h"

#include <cstddef>
#include <string>

namespace radishladder::net {
class IHttpClient;
struct HttpResult;
}
namespace radishladder::settings {
class IConfigurationSource;
struct Service;
struct Upstream;
}

namespace radishladder::requests {

//! Baseline: every request to the next upstream in turn, without limits, retries or memory of keys.
class RoundRobinHandler : public IRequestHandler
{
public:
    RoundRobinHandler(settings::IConfigurationSource &source, net::IHttpClient &client);

    void handle(net::HttpRequest request, std::shared_ptr<net::IHttpResponder> responder) override;
    void stopAccepting() override;
    std::size_t running() const override;

protected:
    //! Upstream of the next request; nullptr if there is none.
    virtual const settings::Upstream *next(const settings::Service &service);

    //! A request was sent to \a upstream.
    virtual void started(const settings::Upstream &) { }

    //! A request to \a upstream has ended.
    virtual void ended(const UpstreamName &) { }

private:
    settings::IConfigurationSource &source;
    net::IHttpClient &client;
    std::size_t turn = 0;
    std::size_t runningCount = 0;
    bool accepting = true;
};
}
