#pragma once

#include "flows/types/flowdecision.h"

#include <chrono>

namespace radishladder::upstreams {
struct UpstreamRecord;
}

namespace radishladder::flows {
struct FlowPacket;

//! A retransmission that arrives within this time after the original packet doesn't indicate a
//! missing response: it was queued on its way to this VM.
inline constexpr std::chrono::milliseconds kMinSilence{150};

//! Returns the decision not to forward a packet.
FlowDecision refusePacket(FlowAction action, ResultCode reason);
//! Resets the first transmission of a SYN and drops retransmissions, since their flow may have
//! opened through another VM and a reset would end it.
FlowDecision refuseOpening(const FlowPacket &packet, ResultCode reason);
//! Returns the decision to forward a packet to \a upstream with its token.
FlowDecision forwardTo(const upstreams::UpstreamRecord &upstream);
}
