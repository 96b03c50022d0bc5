#pragma once

#include "flows/types/flowdecision.h"

#include <chrono>
#include <optional>

namespace radishladder::routing {
class RouteTable;
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

//! Decides where the packets of a flow that has opened go, and when the flow is over.
class OpenFlowDirector
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    OpenFlowDirector(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                     FlowTable &table, const DirectorLimits &limits);

    FlowDecision decide(const FlowPacket &packet, TimePoint now);

private:
    //! What is known of the flow of a packet.
    struct Tracked
    {
        FlowRecord *record = nullptr;
        const upstreams::UpstreamRecord *upstream = nullptr;
        std::optional<std::chrono::milliseconds> openedAfter;
    };

    Tracked track(const FlowPacket &packet, TimePoint now);
    FlowRecord *insert(const FlowPacket &packet, const upstreams::UpstreamRecord *upstream,
                       TimePoint now);
    //! Time that the opening took.
    std::chrono::milliseconds noteOpened(const FlowPacket &packet, FlowRecord &record,
                                         const upstreams::UpstreamRecord &upstream, TimePoint now);
    bool isOut(const upstreams::UpstreamRecord *upstream, TimePoint now) const;
    //! Time that an answer took, if \a packet shows one.
    std::optional<std::chrono::milliseconds> observe(const FlowPacket &packet, FlowRecord &record,
                                                     TimePoint now);
    FlowDecision decideEnded(const FlowPacket &packet, FlowRecord *record,
                             const upstreams::UpstreamRecord *upstream, TimePoint now);
    //! The upstream of \a record is missing from what the store says since the flow waits.
    bool isUnlisted(const FlowRecord &record) const;
    bool isAbandoned(const FlowPacket &packet, const FlowRecord &record, TimePoint now) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    FlowTable &table;
    const DirectorLimits &limits;
};
}
