#include "requests/leastconnectionshandler.h"

#include "settings/types/service.h"

namespace radishladder::requests {
const settings::Upstream *LeastConnectionsHandler::next(const settings::Service &service)
{
    const settings::Upstream *best = nullptr;
    for (const settings::Upstream &upstream : service.upstreams) {
        const bool isUsable = !upstream.drain && upstream.http.port != 0;
        if (isUsable
            && (best == nullptr || this->running[upstream.name] < this->running[best->name])) {
            best = &upstream;
        }
    }
    return best;
}

void LeastConnectionsHandler::started(const settings::Upstream &upstream)
{
    ++this->running[upstream.name];
}

void LeastConnectionsHandler::ended(const UpstreamName &upstream)
{
    --this->running[upstream];
}
}
