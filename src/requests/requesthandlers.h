#pragma once

#include "settings/types/requestmechanism.h"

#include <functional>
#include <memory>

namespace radishladder::net {
class IHttpClient;
}
namespace radishladder::settings {
class IConfigurationSource;
}

namespace radishladder::requests {
class IRequestHandler;

//! Handler for \a mechanism; \a makeShared builds the one that is no baseline.
std::unique_ptr<IRequestHandler> makeRequestHandler(
    settings::RequestMechanism mechanism, settings::IConfigurationSource &source,
    net::IHttpClient &client, const std::function<std::unique_ptr<IRequestHandler>()> &makeShared);
}
