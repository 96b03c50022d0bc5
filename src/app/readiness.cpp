#include "app/readiness.h"

#include "app/stoppolicy.h"
#include "flows/flowdirector.h"
#include "flows/flowtable.h"
#include "global/iclock.h"
#include "routing/routetable.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"
#include "upstreams/upstreamregistry.h"

namespace radishladder::app {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;
}

Readiness::Readiness(const flows::FlowDirector &director, const routing::RouteTable &routes,
                     const upstreams::UpstreamRegistry &registry, flows::FlowTable &table,
                     StopPolicy &stopPolicy, const IClock &clock, telemetry::IEventLog &log,
                     const DataCentreName &dataCentre)
    : director(director), routes(routes), registry(registry), table(table), stopPolicy(stopPolicy),
      clock(clock), log(log), reach(routes, registry, table, dataCentre)
{ }

net::HttpAnswer Readiness::answerProbe()
{
    this->tick();
    if (this->isReady()) {
        return {.body = "{}"};
    }
    if (this->stopPolicy.isStopping()) {
        this->stopPolicy.noteProbeRefused();
    }
    return {.status = 503, .body = "{}"};
}

void Readiness::tick()
{
    this->judgeRotation();
    this->noteChange();
}

bool Readiness::isReady() const
{
    return this->director.isReady() && !this->stopPolicy.isStopping() && !this->rotation.isOut();
}

void Readiness::judgeRotation()
{
    const auto now = this->clock.now();
    const RotationPolicy::Surroundings surroundings{.servesLocally = this->reach.servesLocally(),
                                                    .isOutOfReach = this->director.judgesSilence()
                                                        && this->reach.isOutOfReach(now),
                                                    .hasStore = this->hasStore};
    if (!this->rotation.judge(surroundings, now)) {
        return;
    }
    if (!this->rotation.isOut()) {
        // What was silent while this VM was cut off may answer now.
        this->table.clearSuspicions();
    }
    this->log.write(
        LogEntry(LogKind::State, this->rotation.isOut() ? "rotation.left" : "rotation.returned")
            .text("own_upstreams", surroundings.servesLocally ? "serve" : "none")
            .text("far_upstreams", surroundings.isOutOfReach ? "silent" : "not judged")
            .text("store", this->hasStore ? "answers" : "silent"));
}

void Readiness::noteChange()
{
    const bool ready = this->isReady();
    if (ready == this->wasReady) {
        return;
    }
    this->wasReady = ready;
    this->log.write(
        LogEntry(LogKind::State, ready ? "process.ready" : "process.not_ready")
            .number("configuration", static_cast<std::int64_t>(this->routes.version()))
            .number("upstreams", static_cast<std::int64_t>(this->registry.live().size())));
}
}
