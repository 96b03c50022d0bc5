#pragma once

#include "flows/types/packetsource.h"
#include "flows/types/packetverdict.h"

#include <chrono>
#include <cstdint>
#include <span>

namespace radishladder::flows {

//! Decides for each packet where it goes. Allocates nothing for a packet of a known flow.
class IFlowRouter
{
public:
    virtual ~IFlowRouter() = default;

    //! Verdict for an IPv4 packet, whose time to live is decremented if it is sent on.
    virtual PacketVerdict route(std::span<std::uint8_t> packet, PacketSource source,
                                std::chrono::steady_clock::time_point now) = 0;

    //! Expires idle flows, sends batched records; call it about ten times a second.
    virtual void tick(std::chrono::steady_clock::time_point now) = 0;

    //! Hands over what other VMs will need once this one is gone.
    virtual void prepareStop(std::chrono::steady_clock::time_point now) = 0;

    //! True when everything is handed over or its time is up.
    virtual bool isReadyToStop(std::chrono::steady_clock::time_point now) const = 0;
};
}
