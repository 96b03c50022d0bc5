#pragma once

#include "flows/types/flowdecision.h"

#include <chrono>
#include <optional>

namespace radishladder::evidence {
class ISharedEvidence;
}
namespace radishladder::routing {
class RouteTable;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
struct UpstreamRecord;
}

namespace radishladder::flows {
class FlowTable;
class SharedFlows;
struct DirectorLimits;
struct FlowPacket;
struct FlowRecord;

//! Decides where packets of open flows are forwarded, and when a flow is reset.
class OpenFlowDirector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    OpenFlowDirector(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                     FlowTable &table, const DirectorLimits &limits);

    FlowDecision decide(const FlowPacket &packet, TimePoint now);

    void setSharedEvidence(const evidence::ISharedEvidence *shared) { this->evidence = shared; }
    void setSharedFlows(SharedFlows *flows) { this->sharedFlows = flows; }

private:
    //! State found for the flow of a packet; null pointers if there is none.
    struct TrackedFlow
    {
        FlowRecord *record = nullptr;
        const upstreams::UpstreamRecord *upstream = nullptr;
        std::optional<std::chrono::milliseconds> openingTime;
    };

    //! Finds the record and the upstream of the flow of \a packet; creates a missing record if
    //! \a packet carries a token.
    TrackedFlow track(const FlowPacket &packet, TimePoint now);
    FlowRecord *insert(const FlowPacket &packet, const upstreams::UpstreamRecord *upstream,
                       TimePoint now);
    //! Applies what other VMs announced of the flow of \a packet to \a record, which is null if
    //! there is none; returns the record.
    FlowRecord *applyAnnouncement(const FlowPacket &packet, FlowRecord *record, TimePoint now);
    //! Announces the flow if its client may send the token of another upstream; ends that once the
    //! other upstream can't change the token any more.
    void updateAnnouncement(const FlowPacket &packet, FlowRecord &record, TimePoint now);
    //! Marks the flow as open on \a upstream; returns the time that opening took.
    std::chrono::milliseconds recordOpened(const FlowPacket &packet, FlowRecord &record,
                                           const upstreams::UpstreamRecord &upstream,
                                           TimePoint now);
    //! Returns true if packets to \a upstream are dropped, since its data centre has been evacuated
    //! for the grace period.
    bool isEvacuated(const upstreams::UpstreamRecord *upstream, TimePoint now) const;
    //! Updates \a record from \a packet; returns the response time if \a packet acknowledges a
    //! response.
    std::optional<std::chrono::milliseconds> updateRecord(const FlowPacket &packet,
                                                          FlowRecord &record, TimePoint now);
    //! Returns why \a packet must not be forwarded; its reason is Ok if it may be forwarded.
    FlowDecision decideRefusal(const FlowPacket &packet, FlowRecord *record,
                               const upstreams::UpstreamRecord *upstream, TimePoint now);
    //! Returns true if the route of \a packet was removed after its flow opened.
    bool isRemovalConfirmed(const FlowPacket &packet, const FlowRecord *record) const;
    //! Returns true if the listing of the upstreams includes all changes until the flow began to
    //! wait.
    bool isConfirmedFor(const FlowRecord &record) const;
    //! Returns true if the upstream had ended when the flow began to wait.
    bool hasEnded(const FlowRecord &record, const upstreams::UpstreamRecord &upstream) const;
    //! Returns true if \a upstream is held for ended by a listing that is too old for a reset of
    //! the flow, and has not responded since.
    bool isEndUncertain(const FlowRecord &record, const upstreams::UpstreamRecord &upstream) const;
    //! Refuses a packet whose token belongs to no listed upstream; resets the flow only if the
    //! store has confirmed the listing since the flow began to wait.
    FlowDecision refuseUnlisted(const FlowRecord *record, bool isSilent) const;
    //! Returns true if the flow may have been opened at an address of \a record's upstream that
    //! this VM has not received yet.
    bool isAddressUncertain(const FlowRecord &record, TimePoint now) const;
    //! Returns true if the flow has waited so long that a reset, after which its client can retry,
    //! is better than further waiting.
    bool isTimedOut(const FlowRecord &record, TimePoint now) const;
    //! Returns true if a packet was retransmitted, the clients of the flow can retry its requests
    //! and no response of the upstream since the flow began to wait is known, so that silence may
    //! reset the flow.
    bool canResetForSilence(const FlowPacket &packet, const FlowRecord &record) const;
    //! Returns true if other VMs report that the upstream has been silent for so long that the flow
    //! is reset.
    bool isSilentElsewhere(const FlowRecord &record, const upstreams::UpstreamRecord &upstream,
                           TimePoint now) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    FlowTable &table;
    const DirectorLimits &limits;
    const evidence::ISharedEvidence *evidence = nullptr;
    SharedFlows *sharedFlows = nullptr;
};
}
