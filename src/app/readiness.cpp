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
      clock(clock), log(log), reachability(routes, registry, table, dataCentre)
{ }

net::HttpResponse Readiness::handleProbe()
{
    this->tick();
    if (this->isReady()) {
        return {.body = "{}"};
    }
    if (this->stopPolicy.isStopping()) {
        this->stopPolicy.recordFailedProbe();
    }
    return {.status = 503, .body = "{}"};
}

void Readiness::tick()
{
    this->updateRotation();
    this->logReadinessChange();
}

bool Readiness::isReady() const
{
    return this->director.isReady() && !this->stopPolicy.isStopping()
        && !this->rotation.isWithdrawn();
}

void Readiness::updateRotation()
{
    const auto now = this->clock.now();
    const RotationPolicy::Conditions conditions{.servesLocally = this->reachability.servesLocally(),
                                                .isCutOff = this->director.detectsSilence()
                                                    && this->reachability.isCutOff(now),
                                                .isStoreConnected = this->isStoreConnected,
                                                .isEvacuated = this->reachability.isEvacuated()};
    if (!this->rotation.update(conditions, now)) {
        return;
    }
    if (!this->rotation.isWithdrawn()) {
        // Upstreams that did not respond while this VM was disconnected may respond again.
        this->table.clearSilentCounts();
    }
    this->log.write(LogEntry(LogKind::State,
                             this->rotation.isWithdrawn() ? "rotation.left" : "rotation.returned")
                        .text("own_data_centre", conditions.isEvacuated ? "evacuated" : "in use")
                        .text("own_upstreams", conditions.servesLocally ? "serve" : "none")
                        .text("far_upstreams", conditions.isCutOff ? "silent" : "not judged")
                        .text("store", this->isStoreConnected ? "answers" : "silent"));
}

void Readiness::logReadinessChange()
{
    const bool isNowReady = this->isReady();
    if (isNowReady == this->wasReady) {
        return;
    }
    this->wasReady = isNowReady;
    this->log.write(
        LogEntry(LogKind::State, isNowReady ? "process.ready" : "process.not_ready")
            .number("configuration", static_cast<std::int64_t>(this->routes.version()))
            .number("upstreams", static_cast<std::int64_t>(this->registry.liveIds().size())));
}
}
