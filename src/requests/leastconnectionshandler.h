#pragma once

#include "requests/roundrobinhandler.h"

#include "global/name.h"

#include <map>

namespace radishladder::requests {

//! Baseline: every request to the upstream with the fewest requests that this VM counts there.
class LeastConnectionsHandler : public RoundRobinHandler
{
public:
    using RoundRobinHandler::RoundRobinHandler;

protected:
    const settings::Upstream *next(const settings::Service &service) override;
    void started(const settings::Upstream &upstream) override;
    void ended(const UpstreamName &upstream) override;

private:
    std::map<UpstreamName, int> running;
};
}
