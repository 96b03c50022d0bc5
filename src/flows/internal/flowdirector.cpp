#include "flows/flowdirector.h"

#include "flows/flowtable.h"
#include "flows/internal/decisions.h"
#include "flows/internal/openflowdirector.h"
#include "flows/internal/openingdirector.h"
#include "flows/types/flowevidence.h"
#include "flows/types/flowpacket.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

namespace radishladder::flows {
FlowDirector::FlowDirector(const routing::RouteTable &routes,
                           const upstreams::UpstreamRegistry &registry,
                           const membership::IMembership &membership, FlowTable &table,
                           placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer,
                           VmName self, DataCentreName dataCentre,
                           const DirectorLimits &initialLimits)
    : routes(routes), registry(registry), table(table), limits(initialLimits),
      opening(std::make_unique<OpeningDirector>(routes, registry, membership, table, policy, pacer,
                                                std::move(self), std::move(dataCentre),
                                                this->limits)),
      open(std::make_unique<OpenFlowDirector>(routes, registry, table, this->limits))
{ }

FlowDirector::~FlowDirector() = default;

FlowDecision FlowDirector::decide(const FlowPacket &packet, TimePoint now)
{
    if (!this->isReady()) {
        return refusePacket(FlowAction::Drop, ResultCode::FlowNotReady);
    }
    return packet.isSyn ? this->opening->decide(packet, now) : this->open->decide(packet, now);
}

bool FlowDirector::isReady() const
{
    return this->routes.isLoaded() && this->registry.isSynchronized();
}

FlowEvidence FlowDirector::evidence(upstreams::UpstreamId upstream, TimePoint now) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    FlowEvidence evidence{.configurationVersion = this->routes.version()};
    const upstreams::UpstreamRecord *record = this->registry.find(upstream);
    if (record != nullptr) {
        evidence.entryAge = duration_cast<milliseconds>(now - record->receivedAt);
    }
    const UpstreamLoad *load = this->table.load(upstream);
    if (load != nullptr) {
        evidence.openFlows = load->openFlows;
        evidence.busyFlows = load->busyFlows;
        evidence.silentFlows = load->silentFlows;
        if (load->lastResponse != TimePoint()) {
            evidence.responseAge = duration_cast<milliseconds>(now - load->lastResponse);
        }
    }
    return evidence;
}
}
