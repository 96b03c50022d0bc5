#include "requests/requesthandlers.h"

#include "requests/leastconnectionshandler.h"
#include "requests/roundrobinhandler.h"

namespace radishladder::requests {
std::unique_ptr<IRequestHandler> makeRequestHandler(
    settings::RequestMechanism mechanism, settings::IConfigurationSource &source,
    net::IHttpClient &client, const std::function<std::unique_ptr<IRequestHandler>()> &makeShared)
{
    switch (mechanism) {
    case settings::RequestMechanism::LeastConnections:
        return std::make_unique<LeastConnectionsHandler>(source, client);
    case settings::RequestMechanism::RoundRobin:
        return std::make_unique<RoundRobinHandler>(source, client);
    case settings::RequestMechanism::Shared:
        break;
    }
    return makeShared();
}
}
