#pragma once

#include "flows/iflowrouter.h"
#include "placement/epochmaker.h"
#include "placement/epochplacement.h"
#include "upstreams/loadprober.h"
#include "upstreams/upstreams.h"

#include <memory>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
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
class Fleet;

//! The decisions about upstreams and flows, wired to what the fleet shares.
class FlowParts
{
public:
    FlowParts(const settings::VmSettings &settings, Fleet &fleet, net::IHttpClient &client,
              store::IConfigStore &store, const IClock &clock, telemetry::ITimeLine &timeLine,
              telemetry::IMetrics &metrics);

    void run(net::IEventLoop &loop, const IClock &clock);

    upstreams::Upstreams upstreams;
    upstreams::LoadProber prober;
    placement::EpochPlacement placement;
    placement::EpochMaker maker;
    std::unique_ptr<flows::IFlowRouter> router;
};
}
