#include "app/requestparts.h"

#include "app/fleet.h"
#include "global/iclock.h"
#include "net/ieventloop.h"
#include "requests/requestengine.h"
#include "requests/requesthandlers.h"
#include "settings/types/vmsettings.h"
#include "upstreams/upstreams.h"

namespace radishladder::app {
namespace {
constexpr std::chrono::milliseconds kRequestTick{10};
}

RequestParts::RequestParts(const settings::VmSettings &settings, Fleet &fleet,
                           upstreams::Upstreams &upstreams, net::IHttpClient &client,
                           telemetry::IMetrics &metrics, const IClock &clock)
    : handler(
        requests::makeRequestHandler(settings.requestMechanism, fleet.configuration, client, [&] {
            auto shared = std::make_unique<requests::RequestEngine>(
                requests::RequestSurroundings{fleet.configuration, upstreams, upstreams,
                                              fleet.membership, fleet.transport, client, metrics,
                                              clock, fleet.random},
                requests::RequestOptions());
            this->engine = shared.get();
            return shared;
        }))
{ }

RequestParts::~RequestParts() = default;

void RequestParts::run(net::IEventLoop &loop, const IClock &clock)
{
    if (this->engine != nullptr) {
        loop.every(kRequestTick, [this, &clock] { this->engine->tick(clock.now()); });
    }
}
}
