#include "flows/internal/decisions.h"

#include "flows/types/flowpacket.h"
#include "upstreams/types/upstreamrecord.h"

namespace radishladder::flows {
FlowDecision refusePacket(FlowAction action, ResultCode reason)
{
    return {.action = action, .reason = reason};
}

FlowDecision refuseOpening(const FlowPacket &packet, ResultCode reason)
{
    return refusePacket(packet.acknowledged == 0 ? FlowAction::Reset : FlowAction::Drop, reason);
}

FlowDecision forwardTo(const upstreams::UpstreamRecord &upstream)
{
    return {.action = FlowAction::Forward,
            .upstream = upstream.upstream.id,
            .address = upstream.upstream.address,
            .token = upstreams::flowToken(upstream.upstream.id)};
}
}
