#include "flows/internal/decisions.h"

#include "upstreams/types/upstreamrecord.h"

namespace radishladder::flows {
FlowDecision refusePacket(FlowAction action, ResultCode reason)
{
    return {.action = action, .reason = reason};
}

FlowDecision forwardTo(const upstreams::UpstreamRecord &upstream)
{
    return {.action = FlowAction::Forward,
            .upstream = upstream.upstream.id,
            .address = upstream.upstream.address,
            .token = upstreams::flowToken(upstream.upstream.id)};
}
}
