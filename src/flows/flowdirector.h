#pragma once

#include "flows/types/directorlimits.h"
#include "flows/types/flowdecision.h"
#include "global/name.h"

#include <chrono>
#include <memory>
#include <vector>

namespace radishladder {
class IRandom;
}
namespace radishladder::evidence {
class ISharedEvidence;
}
namespace radishladder::membership {
class IMembership;
}
namespace radishladder::placement {
class IAdmissionPolicy;
class IPlacementPolicy;
class ServiceLoad;
class SpillControl;
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
class OpeningAdmission;
class OpeningDirector;
class SharedFlows;
class Spilling;
class SuspectFilter;
struct DecisionInputs;
struct FlowPacket;
struct ServiceLoadReport;

//! Decides whether each packet of a client is forwarded, reset or dropped; does no I/O and reads no
//! clock.
class FlowDirector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    FlowDirector(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                 const membership::IMembership &membership, FlowTable &table,
                 placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer,
                 placement::IAdmissionPolicy &admissionPolicy, placement::ServiceLoad &serviceLoad,
                 placement::SpillControl &spillControl, VmName self, DataCentreName dataCentre,
                 const DirectorLimits &initialLimits);
    ~FlowDirector();

    FlowDecision decide(const FlowPacket &packet, TimePoint now);

    //! Returns true once the configuration and the list of upstreams have been received.
    bool isReady() const;

    //! Returns the inputs of decisions on flows to \a upstream, for logs and reports.
    DecisionInputs decisionInputs(upstreams::UpstreamId upstream, TimePoint now) const;

    //! Returns the measured load of the services whose routes differ in priority.
    std::vector<ServiceLoadReport> serviceLoads(TimePoint now);

    //! Returns false while missing responses affect no decision, since operators have frozen
    //! automatic actions.
    bool detectsSilence() const { return this->limits.detectSilence; }

    //! Sets the evidence of other VMs; null if there is none.
    void setSharedEvidence(evidence::ISharedEvidence *shared);

    //! Sets the flows that other VMs announce; null if there are none.
    void setSharedFlows(SharedFlows *shared);

    //! Sets whether this VM is leaving the rotation, or has left it: it then announces to other VMs
    //! the flows whose next packets they may get before a token shows the upstream.
    void setLeaving(bool isLeaving, TimePoint now);

    //! Replaces the limits; takes effect with the next packet.
    void setLimits(const DirectorLimits &changed) { this->limits = changed; }

private:
    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const FlowTable &table;
    evidence::ISharedEvidence *evidence = nullptr;
    DirectorLimits limits;
    std::unique_ptr<SuspectFilter> suspects;
    std::unique_ptr<OpeningAdmission> openingAdmission;
    std::unique_ptr<Spilling> spilling;
    std::unique_ptr<OpeningDirector> openingDirector;
    std::unique_ptr<OpenFlowDirector> openFlowDirector;
};
}
