#pragma once

#include "flows/types/flowdecision.h"
#include "global/name.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace radishladder::membership {
class IMembership;
}
namespace radishladder::placement {
class IPlacementPolicy;
class WarmupPacer;
struct Candidate;
}
namespace radishladder::routing {
class RouteTable;
struct Route;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
struct UpstreamRecord;
}

namespace radishladder::flows {
class FlowTable;
struct DirectorLimits;
struct FlowPacket;
struct FlowRecord;

//! Decides which upstream the first packet of a flow and its copies go to, or why none does.
class OpeningDirector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    OpeningDirector(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                    const membership::IMembership &membership, FlowTable &table,
                    placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer, VmName self,
                    DataCentreName dataCentre, const DirectorLimits &limits);
    ~OpeningDirector();

    FlowDecision decide(const FlowPacket &packet, TimePoint now);

private:
    FlowDecision repeatOpening(const FlowPacket &packet, const routing::Route &route,
                               FlowRecord &record, TimePoint now);
    FlowDecision place(const FlowPacket &packet, const routing::Route &route, FlowRecord *record,
                       TimePoint now);
    const ServiceName &serviceFor(const FlowPacket &packet, const routing::Route &route) const;
    //! Index into the candidates; std::nullopt if none can take the flow.
    std::optional<std::size_t> choose(const ServiceName &service, const FlowRecord *previous,
                                      TimePoint now);
    void collectCandidates(const ServiceName &service, const FlowRecord *previous, bool onlyLocal,
                           TimePoint now);
    placement::Candidate judge(const upstreams::UpstreamRecord &upstream, TimePoint now) const;
    int warmupLimit(const upstreams::UpstreamRecord &upstream) const;
    bool ownsWarmup(const upstreams::UpstreamRecord &upstream) const;
    bool mayStay(const upstreams::UpstreamRecord &upstream, const FlowRecord &record,
                 TimePoint now) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const membership::IMembership &membership;
    FlowTable &table;
    placement::IPlacementPolicy &policy;
    placement::WarmupPacer &pacer;
    VmName self;
    DataCentreName dataCentre;
    const DirectorLimits &limits;

    //! Reused for every placement.
    std::vector<const upstreams::UpstreamRecord *> choices;
    std::vector<placement::Candidate> candidates;
};
}
