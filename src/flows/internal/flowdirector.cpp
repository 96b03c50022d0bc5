#include "flows/flowdirector.h"

#include "evidence/isharedevidence.h"
#include "flows/flowtable.h"
#include "flows/internal/decisions.h"
#include "flows/internal/openflowdirector.h"
#include "flows/internal/openingadmission.h"
#include "flows/internal/openingdirector.h"
#include "flows/internal/spilling.h"
#include "flows/internal/suspectfilter.h"
#include "flows/types/decisioninputs.h"
#include "flows/types/flowpacket.h"
#include "flows/types/serviceloadreport.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

namespace radishladder::flows {
FlowDirector::FlowDirector(const routing::RouteTable &routes,
                           const upstreams::UpstreamRegistry &registry,
                           const membership::IMembership &membership, FlowTable &table,
                           placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer,
                           placement::IAdmissionPolicy &admissionPolicy,
                           placement::ServiceLoad &serviceLoad,
                           placement::SpillControl &spillControl, VmName self,
                           DataCentreName dataCentre, const DirectorLimits &initialLimits)
    : routes(routes), registry(registry), table(table), limits(initialLimits),
      suspects(std::make_unique<SuspectFilter>(registry, table)),
      openingAdmission(std::make_unique<OpeningAdmission>(routes, registry, membership, table,
                                                          *this->suspects, admissionPolicy,
                                                          serviceLoad, this->limits)),
      spilling(std::make_unique<Spilling>(routes, membership, *this->openingAdmission, spillControl,
                                          dataCentre)),
      openingDirector(std::make_unique<OpeningDirector>(
          routes, registry, membership, table, policy, pacer, *this->openingAdmission,
          *this->spilling, *this->suspects, std::move(self), std::move(dataCentre), this->limits)),
      openFlowDirector(std::make_unique<OpenFlowDirector>(routes, registry, table, this->limits))
{ }

FlowDirector::~FlowDirector() = default;

void FlowDirector::setSharedEvidence(evidence::ISharedEvidence *shared)
{
    this->evidence = shared;
    this->suspects->setSharedEvidence(shared);
    this->openFlowDirector->setSharedEvidence(shared);
}

void FlowDirector::setSharedFlows(SharedFlows *shared)
{
    this->openingDirector->setSharedFlows(shared);
    this->openFlowDirector->setSharedFlows(shared);
}

void FlowDirector::setLeaving(bool isLeaving, TimePoint now)
{
    this->openingDirector->setLeaving(isLeaving, now);
}

FlowDecision FlowDirector::decide(const FlowPacket &packet, TimePoint now)
{
    if (!this->isReady()) {
        return refusePacket(FlowAction::Drop, ResultCode::FlowNotReady);
    }
    if (packet.isSyn) {
        return this->openingDirector->decide(packet, now);
    }
    FlowDecision decision = this->openFlowDirector->decide(packet, now);
    if (decision.responseTime) {
        this->openingAdmission->recordResponse(decision.upstream, *decision.responseTime, now);
    }
    return decision;
}

bool FlowDirector::isReady() const
{
    return this->routes.isLoaded() && this->registry.isSynchronized();
}

std::vector<ServiceLoadReport> FlowDirector::serviceLoads(TimePoint now)
{
    return this->openingAdmission->reports(now);
}

DecisionInputs FlowDirector::decisionInputs(upstreams::UpstreamId upstream, TimePoint now) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    DecisionInputs decisionInputs{
        .configurationVersion = this->routes.version(),
        .listingAge = duration_cast<milliseconds>(now - this->registry.confirmedAt())};
    const upstreams::UpstreamRecord *record = this->registry.find(upstream);
    if (record != nullptr) {
        decisionInputs.entryAge = duration_cast<milliseconds>(now - record->receivedAt);
    }
    const UpstreamLoad *load = this->table.findLoad(upstream);
    if (load != nullptr) {
        decisionInputs.openFlows = load->openFlows;
        decisionInputs.busyFlows = load->busyFlows;
        decisionInputs.silentFlows = load->silentFlows;
        if (load->lastResponse != TimePoint()) {
            decisionInputs.responseAge = duration_cast<milliseconds>(now - load->lastResponse);
        }
    }
    if (this->evidence != nullptr) {
        const evidence::SharedSilence silence = this->evidence->silenceOf(upstream, now);
        decisionInputs.witnesses = silence.witnesses;
        if (silence.witnesses > 0) {
            decisionInputs.sharedSilence = duration_cast<milliseconds>(now - silence.since);
            decisionInputs.evidenceAge = duration_cast<milliseconds>(now - silence.newestReport);
        }
    }
    return decisionInputs;
}
}
