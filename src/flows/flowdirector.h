#pragma once

#include "flows/types/directorlimits.h"
#include "flows/types/flowdecision.h"
#include "global/name.h"

#include <chrono>
#include <memory>

namespace radishladder {
class IRandom;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::placement {
class IPlacementPolicy;
class WarmupPacer;
}
namespace radishladder::routing {
class RouteTable;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
}

namespace radishladder::flows {
class FlowTable;
class OpenFlowDirector;
class OpeningDirector;
struct FlowEvidence;
struct FlowPacket;

//! Decides what happens to each packet of a caller; does no I/O and reads no clock.
class FlowDirector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    FlowDirector(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                 const membership::IMembership &membership, FlowTable &table,
                 placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer, VmName self,
                 DataCentreName dataCentre, const DirectorLimits &given);
    ~FlowDirector();

    FlowDecision decide(const FlowPacket &packet, TimePoint now);

    //! True once configuration and upstreams are known.
    bool isReady() const;

    //! What this VM knows of \a upstream, for the log.
    FlowEvidence evidence(upstreams::UpstreamId upstream, TimePoint now) const;

    //! False while operators have frozen automatic actions.
    bool judgesSilence() const { return this->limits.judgeSilence; }

    //! Puts changed limits in force.
    void setLimits(const DirectorLimits &changed) { this->limits = changed; }

private:
    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const FlowTable &table;
    DirectorLimits limits;
    std::unique_ptr<OpeningDirector> opening;
    std::unique_ptr<OpenFlowDirector> open;
};
}
