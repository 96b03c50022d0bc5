#pragma once

#include "flows/types/flowdecision.h"
#include "global/name.h"
#include "placement/memberhistory.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace radishladder::membership {
class IMembership;
}
namespace radishladder::placement {
class IPlacementPolicy;
class UpstreamSubset;
class WarmupPacer;
struct Candidate;
struct SpillDecision;
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
class OpeningAdmission;
class SharedFlows;
class Spilling;
class SuspectFilter;
struct DirectorLimits;
struct FlowKey;
struct FlowPacket;
struct FlowRecord;

//! Selects the upstream to which the SYN of a flow and its retransmissions are forwarded; drops
//! or resets a SYN that no upstream can accept.
class OpeningDirector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    OpeningDirector(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                    const membership::IMembership &membership, FlowTable &table,
                    placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer,
                    OpeningAdmission &admission, Spilling &spilling, SuspectFilter &suspects,
                    VmName self, DataCentreName dataCentre, const DirectorLimits &limits);
    ~OpeningDirector();

    FlowDecision decide(const FlowPacket &packet, TimePoint now);

    //! Sets the flows that other VMs announce; null if there are none.
    void setSharedFlows(SharedFlows *flows) { this->sharedFlows = flows; }

    //! Sets whether this VM is leaving the rotation: the flows that have not opened yet, and new
    //! ones, are then announced, since their next packets go through other VMs.
    void setLeaving(bool isLeavingNow, TimePoint now);

private:
    //! Returns the record of the flow of \a packet; creates it if another VM has announced the
    //! flow, and returns null if nothing is known of it.
    FlowRecord *findRecord(const FlowPacket &packet, TimePoint now);
    FlowDecision decideFor(const FlowPacket &packet, const routing::Route &route,
                           FlowRecord *record, TimePoint now);
    void announceOpening(const FlowKey &flow, const FlowRecord &record, TimePoint now);
    //! Forwards a retransmitted SYN to the upstream of \a record, or selects another upstream.
    FlowDecision handleRetransmission(const FlowPacket &packet, const routing::Route &route,
                                      FlowRecord &record, TimePoint now);
    //! Selects an upstream for a SYN; \a record is null if the flow has no record yet.
    FlowDecision place(const FlowPacket &packet, const routing::Route &route, FlowRecord *record,
                       TimePoint now);
    //! Picks a service of \a route by weight and flow hash, the same on every VM.
    const ServiceName &serviceFor(const FlowPacket &packet, const routing::Route &route) const;
    //! Returns an index into the candidates; std::nullopt if no candidate can accept the flow.
    //! \a previous is the record of a flow that was placed before, whose upstream is not chosen
    //! again; otherwise null.
    std::optional<std::size_t> choose(const ServiceName &service, const FlowRecord *previous,
                                      TimePoint now);
    //! Returns the same for a new flow; sets \a spill if it is sent to another data centre by the
    //! pressures.
    std::optional<std::size_t> chooseForNew(const ServiceName &service,
                                            std::optional<placement::SpillDecision> &spill,
                                            TimePoint now);
    //! Returns the index of an upstream in \a dataCentre; std::nullopt if none there is usable.
    std::optional<std::size_t> chooseIn(const DataCentreName &dataCentre,
                                        const ServiceName &service, TimePoint now);
    //! \a only is null for the upstreams of all data centres.
    void collectCandidates(const ServiceName &service, const FlowRecord *previous,
                           const DataCentreName *only, TimePoint now);
    //! Sets what depends on the other upstreams and VMs of the data centre: the rings of the
    //! candidates, their loads and their response times.
    void evaluateTogether(const ServiceName &service, TimePoint now);
    //! Returns the estimated mean load of the usable candidates in \a dataCentre.
    double meanLoad(const DataCentreName &dataCentre);
    placement::Candidate evaluate(const upstreams::UpstreamRecord &upstream, TimePoint now) const;
    int warmupLimit(const upstreams::UpstreamRecord &upstream) const;
    //! Returns true if this VM is the one that opens flows to the cold \a upstream.
    bool ownsWarmup(const upstreams::UpstreamRecord &upstream) const;
    //! Returns true if a member that left a moment ago may still open flows to the cold \a
    //! upstream, which this VM owns now.
    bool mayHaveFormerOwner(const upstreams::UpstreamRecord &upstream) const;
    //! Returns true if \a upstream, which was sent the SYN of the flow, may have accepted the flow,
    //! so that no other upstream may get the SYN.
    bool mayHaveAccepted(const upstreams::UpstreamRecord &upstream, const routing::Route &route,
                         const FlowRecord &record, TimePoint now) const;
    //! Returns true if silence before a SYN may move its first retransmission to another upstream.
    bool canMoveEarly(const routing::Route &route) const;
    //! Returns true if \a upstream may get a retransmitted SYN now.
    bool canOpenOn(const upstreams::UpstreamRecord &upstream, TimePoint now) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const membership::IMembership &membership;
    FlowTable &table;
    placement::IPlacementPolicy &policy;
    placement::WarmupPacer &pacer;
    OpeningAdmission &admission;
    Spilling &spilling;
    SuspectFilter &suspects;
    VmName self;
    DataCentreName dataCentre;
    const DirectorLimits &limits;
    SharedFlows *sharedFlows = nullptr;
    bool isLeaving = false;
    placement::MemberHistory memberHistory;

    //! Upstreams and their candidates, at the same index; kept as members to reuse their memory.
    std::vector<const upstreams::UpstreamRecord *> candidateRecords;
    std::vector<placement::Candidate> candidates;

    //! Warm upstreams that may get new flows, full ones included, by data centre.
    std::unordered_map<DataCentreName, std::vector<upstreams::UpstreamId>> warmUpstreams;
    std::map<std::pair<ServiceName, DataCentreName>, placement::UpstreamSubset> subsets;

    //! Mean load by data centre, of the candidates.
    std::unordered_map<DataCentreName, double> dataCentreLoads;
};
}
