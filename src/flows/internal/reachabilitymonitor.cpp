#include "flows/reachjudge.h"

#include "flows/flowtable.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

namespace radishladder::flows {
namespace {
//! Longer than upstreams that are reached leave all flows of a VM without an answer.
constexpr std::chrono::milliseconds kSilence{300};

//! Fewer may wait on upstreams that died at the same time.
constexpr int kSilentFlows = 3;
}

ReachJudge::ReachJudge(const routing::RouteTable &routes,
                       const upstreams::UpstreamRegistry &registry, const FlowTable &table,
                       DataCentreName dataCentre)
    : routes(routes), registry(registry), table(table), dataCentre(std::move(dataCentre))
{ }

bool ReachJudge::mayServe(const upstreams::UpstreamRecord &upstream) const
{
    return upstream.takesNewFlows() && !this->routes.isEvacuated(upstream.upstream.dataCentre);
}

bool ReachJudge::servesLocally() const
{
    return this->registry.any([this](const upstreams::UpstreamRecord &upstream) {
        return upstream.upstream.dataCentre == this->dataCentre && this->mayServe(upstream)
            && !this->table.isSuspect(upstream.upstream.id);
    });
}

bool ReachJudge::isOutOfReach(TimePoint now) const
{
    return !this->servesLocally() && this->isSilentFar(now);
}

bool ReachJudge::isSilentFar(TimePoint now) const
{
    int silentFlows = 0;
    const bool answers = this->registry.any([&](const upstreams::UpstreamRecord &upstream) {
        const UpstreamLoad *load = this->table.load(upstream.upstream.id);
        if (load == nullptr || !this->mayServe(upstream)) {
            return false;
        }
        silentFlows += load->silentFlows;
        return now - load->lastProgress < kSilence;
    });
    return !answers && silentFlows >= kSilentFlows;
}
}
