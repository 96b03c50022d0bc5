#pragma once

#include "app/rotationpolicy.h"
#include "flows/reachabilitymonitor.h"
#include "net/types/httpresponse.h"

namespace radishladder {
class IClock;
}
namespace radishladder::flows {
class FlowDirector;
class FlowTable;
}
namespace radishladder::routing {
class RouteTable;
}
namespace radishladder::telemetry {
class IEventLog;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
}

namespace radishladder::app {
class StopPolicy;

//! Decides whether this VM is ready for the packets of clients, and reports the decision to routers
//! in the responses to their readiness probes.
class Readiness
{
public:
    Readiness(const flows::FlowDirector &director, const routing::RouteTable &routes,
              const upstreams::UpstreamRegistry &registry, flows::FlowTable &table,
              StopPolicy &stopPolicy, const IClock &clock, telemetry::IEventLog &log,
              const DataCentreName &dataCentre);

    //! Returns the response to a probe: 200 if this VM is ready for packets, else 503.
    net::HttpResponse handleProbe();

    //! Returns true while this VM is withdrawn from rotation because its data centre is evacuated
    //! or because it could reach no upstream.
    bool isWithdrawn() const { return this->rotation.isWithdrawn(); }

    //! Sets whether the store responds to calls of this VM.
    void setStoreConnected(bool isConnected) { this->isStoreConnected = isConnected; }

    //! Evaluates the state of this VM again; must be called several times per second.
    void tick();

private:
    bool isReady() const;
    void logReadinessChange();
    void updateRotation();

    const flows::FlowDirector &director;
    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    flows::FlowTable &table;
    StopPolicy &stopPolicy;
    const IClock &clock;
    telemetry::IEventLog &log;
    flows::ReachabilityMonitor reachability;
    RotationPolicy rotation;
    bool isStoreConnected = true;
    bool wasReady = false;
};
}
