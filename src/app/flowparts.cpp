#include "app/flowparts.h"

#include "app/fleet.h"
#include "flows/flowrouterfactory.h"
#include "flows/types/flowdependencies.h"
#include "flows/types/flowoptions.h"
#include "global/iclock.h"
#include "net/ieventloop.h"
#include "settings/types/vmsettings.h"

namespace radishladder::app {
namespace {
constexpr std::chrono::milliseconds kDecisionTick{100};
constexpr std::chrono::milliseconds kProbePeriod{500};
}

FlowParts::FlowParts(const settings::VmSettings &settings, Fleet &fleet, net::IHttpClient &client,
                     store::IConfigStore &store, const IClock &clock,
                     telemetry::ITimeLine &timeLine, telemetry::IMetrics &metrics)
    : upstreams(fleet.configuration, fleet.membership, fleet.facts, timeLine, clock),
      prober(this->upstreams, client, clock),
      placement(fleet.configuration, fleet.feed, fleet.facts, this->upstreams, timeLine),
      maker(fleet.configuration, fleet.feed, store, fleet.membership, fleet.facts, this->upstreams,
            timeLine),
      router(flows::createFlowRouter(settings.flowMechanism,
                                     {.placement = this->placement,
                                      .membership = fleet.membership,
                                      .transport = fleet.transport,
                                      .upstreams = this->upstreams,
                                      .configuration = fleet.configuration,
                                      .metrics = metrics,
                                      .clock = clock,
                                      .dataCentre = settings.dataCentre},
                                     flows::FlowOptions()))
{ }

void FlowParts::run(net::IEventLoop &loop, const IClock &clock)
{
    loop.every(kDecisionTick, [this, &clock] {
        const auto now = clock.now();
        this->upstreams.tick(now);
        this->placement.tick(now);
        this->maker.tick(now);
        this->router->tick(now);
    });
    loop.every(kProbePeriod, [this] { this->prober.tick(); });
}
}
