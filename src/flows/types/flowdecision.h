#pragma once

#include "global/resultcode.h"
#include "net/types/endpoint.h"
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

//! What happens to one packet.
struct FlowDecision
{
    FlowAction action = FlowAction::Drop;

    //! Why, unless it is forwarded as usual.
    ResultCode reason = ResultCode::Ok;

    //! Where it is forwarded to.
    upstreams::UpstreamId upstream;
    net::Endpoint address;
    std::uint32_t token = 0;

    //! The packet opened a flow and was given this upstream.
    bool isPlacement = false;

    //! The packet shows that the flow has opened, so long after its first packet was forwarded.
    std::optional<std::chrono::milliseconds> openedAfter;

    //! The packet shows an answer, so long after the request was forwarded.
    std::optional<std::chrono::milliseconds> answeredAfter;

    //! An earlier copy of the packet had been given another upstream.
    bool isReplacement = false;
};
}
