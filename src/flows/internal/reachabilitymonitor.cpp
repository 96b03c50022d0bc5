#include "flows/reachabilitymonitor.h"

#include "flows/flowtable.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

namespace radishladder::flows {
namespace {
//! Reachable upstreams don't leave all flows of a VM without a response for this long.
constexpr std::chrono::milliseconds kMinSilentTime{300};

//! Minimum number of silent flows; fewer may be due to a few upstreams that failed at the
//! same time.
constexpr int kMinSilentFlows = 3;
}

ReachabilityMonitor::ReachabilityMonitor(const routing::RouteTable &routes,
                                         const upstreams::UpstreamRegistry &registry,
                                         const FlowTable &table, DataCentreName dataCentre)
    : routes(routes), registry(registry), table(table), dataCentre(std::move(dataCentre))
{ }

bool ReachabilityMonitor::canServe(const upstreams::UpstreamRecord &upstream) const
{
    return upstream.acceptsNewFlows() && !this->routes.isEvacuated(upstream.upstream.dataCentre);
}

bool ReachabilityMonitor::isEvacuated() const
{
    return this->routes.isEvacuated(this->dataCentre)
        && this->registry.hasMatch(
            [this](const upstreams::UpstreamRecord &upstream) { return this->canServe(upstream); });
}

bool ReachabilityMonitor::servesLocally() const
{
    return this->registry.hasMatch([this](const upstreams::UpstreamRecord &upstream) {
        return upstream.upstream.dataCentre == this->dataCentre && this->canServe(upstream)
            && !this->table.isSuspect(upstream.upstream.id);
    });
}

bool ReachabilityMonitor::isCutOff(TimePoint now) const
{
    return !this->servesLocally() && this->areUpstreamsSilent(now);
}

bool ReachabilityMonitor::areUpstreamsSilent(TimePoint now) const
{
    int silentFlows = 0;
    const bool isResponding =
        this->registry.hasMatch([&](const upstreams::UpstreamRecord &upstream) {
            const UpstreamLoad *load = this->table.findLoad(upstream.upstream.id);
            if (load == nullptr || !this->canServe(upstream)) {
                return false;
            }
            silentFlows += load->silentFlows;
            return now - load->lastResponse < kMinSilentTime;
        });
    return !isResponding && silentFlows >= kMinSilentFlows;
}
}
