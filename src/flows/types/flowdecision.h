#pragma once

#include "global/resultcode.h"
#include "net/types/endpoint.h"
#include "placement/types/admissiondecision.h"
#include "placement/types/spilldecision.h"
#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace radishladder::flows {

enum class FlowAction : std::uint8_t {
    Forward,
    Reset,
    Drop,
};

//! Decision on a single packet.
struct FlowDecision
{
    FlowAction action = FlowAction::Drop;

    //! Why the packet is reset or dropped; Ok if it is forwarded.
    ResultCode reason = ResultCode::Ok;

    //! Destination of a forwarded packet; for some resets, the ended or silent upstream;
    //! for a SYN refused by priority, the upstream that was selected.
    upstreams::UpstreamId upstream;

    //! Address of the destination, and the token that the forwarded packet carries.
    net::Endpoint address;
    std::uint32_t token = 0;

    //! The packet is a SYN for which a new upstream was selected.
    bool isPlaced = false;

    //! For a placed flow: how often the preferred arc was doubled to include the upstream.
    int ring = 0;

    //! Set on the first packet that shows that the flow has opened: time since the SYN was
    //! forwarded.
    std::optional<std::chrono::milliseconds> openingTime;

    //! Set on a packet that acknowledges the response to a request: time since the request was
    //! forwarded.
    std::optional<std::chrono::milliseconds> responseTime;

    //! Whether the packet is refused depends on the newest changes of the upstreams, or of the
    //! routes, which this VM should request now.
    bool needsConfirmation = false;
    bool needsRouteConfirmation = false;

    //! The packet is a retransmitted SYN whose earlier transmissions went to another upstream.
    bool isPlacedAgain = false;

    //! Set on a new flow that is sent to another data centre because the own one is full.
    std::optional<placement::SpillDecision> spill;

    //! Set on a SYN that is refused because its service is overloaded.
    std::optional<placement::AdmissionDecision> admission;
};
}
