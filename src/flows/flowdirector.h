#pragma once

#include "flows/types/directorlimits.h"
#include "flows/types/flowdecision.h"
#include "global/name.h"

#include <chrono>
#include <optional>
#include <vector>

namespace radishladder {
class IRandom;
}
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
struct FlowEvidence;
struct FlowPacket;
struct FlowRecord;

//! Decides what happens to each packet of a caller; does no I/O and reads no clock.
class FlowDirector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    FlowDirector(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                 const membership::IMembership &membership, FlowTable &table,
                 placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer, VmName self,
                 DataCentreName dataCentre, const DirectorLimits &limits);
    ~FlowDirector();

    FlowDecision decide(const FlowPacket &packet, TimePoint now);

    //! True once configuration and upstreams are known.
    bool isReady() const;

    //! What this VM knows of \a upstream, for the log.
    FlowEvidence evidence(upstreams::UpstreamId upstream, TimePoint now) const;

    //! Puts changed limits in force.
    void setLimits(const DirectorLimits &changed) { this->limits = changed; }

private:
    FlowDecision decideOpening(const FlowPacket &packet, TimePoint now);
    FlowDecision repeatOpening(const FlowPacket &packet, const routing::Route &route,
                               FlowRecord &record, TimePoint now);
    FlowDecision place(const FlowPacket &packet, const routing::Route &route, FlowRecord *record,
                       TimePoint now);
    FlowDecision decideOpen(const FlowPacket &packet, TimePoint now);
    FlowDecision decideEnded(const FlowPacket &packet, FlowRecord *record,
                             const upstreams::UpstreamRecord *upstream, TimePoint now);
    bool isAbandoned(const FlowPacket &packet, const FlowRecord &record, TimePoint now) const;
    //! Time that an answer took, if \a packet shows one.
    std::optional<std::chrono::milliseconds> observe(const FlowPacket &packet, FlowRecord &record,
                                                     TimePoint now);
    FlowRecord *recordOf(const FlowPacket &packet, upstreams::UpstreamId upstream, TimePoint now);

    const ServiceName &serviceFor(const FlowPacket &packet, const routing::Route &route) const;
    void collectCandidates(const ServiceName &service, const FlowRecord *previous, TimePoint now);
    placement::Candidate judge(const upstreams::UpstreamRecord &upstream, TimePoint now) const;
    int warmupLimit(const upstreams::UpstreamRecord &upstream) const;
    bool ownsWarmup(const upstreams::UpstreamRecord &upstream) const;
    bool mayStay(const upstreams::UpstreamRecord &upstream, const FlowRecord &record,
                 TimePoint now) const;
    FlowDecision forward(const upstreams::UpstreamRecord &upstream) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const membership::IMembership &membership;
    FlowTable &table;
    placement::IPlacementPolicy &policy;
    placement::WarmupPacer &pacer;
    VmName self;
    DataCentreName dataCentre;
    DirectorLimits limits;

    //! Reused for every placement.
    std::vector<const upstreams::UpstreamRecord *> choices;
    std::vector<placement::Candidate> candidates;
};
}
