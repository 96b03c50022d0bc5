#pragma once

#include "app/rotationpolicy.h"
#include "flows/reachjudge.h"
#include "net/types/httpanswer.h"

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

//! Tells routers whether this VM takes packets.
class Readiness
{
public:
    Readiness(const flows::FlowDirector &director, const routing::RouteTable &routes,
              const upstreams::UpstreamRegistry &registry, flows::FlowTable &table,
              StopPolicy &stopPolicy, const IClock &clock, telemetry::IEventLog &log,
              const DataCentreName &dataCentre);

    //! Answers a probe: 200 if this VM takes packets, else 503.
    net::HttpAnswer answerProbe();

    //! This VM can serve nobody and has told routers to leave it out.
    bool isOutOfRotation() const { return this->rotation.isOut(); }

    //! Whether the store answers calls of this VM.
    void noteStore(bool answers) { this->hasStore = answers; }

    //! Looks at the state anew; call it several times a second.
    void tick();

private:
    bool isReady() const;
    void noteChange();
    void judgeRotation();

    const flows::FlowDirector &director;
    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    flows::FlowTable &table;
    StopPolicy &stopPolicy;
    const IClock &clock;
    telemetry::IEventLog &log;
    flows::ReachJudge reach;
    RotationPolicy rotation;
    bool hasStore = true;
    bool wasReady = false;
};
}
