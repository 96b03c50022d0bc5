#pragma once

#include "flows/types/flowkey.h"

#include <cstdint>

namespace radishladder::flows {

//! What a decision needs to know of a caller's packet.
struct FlowPacket
{
    FlowKey flow;

    bool opens = false;
    bool finishes = false;
    bool resets = false;

    std::uint32_t sequence = 0;

    //! For a packet that opens a flow: how many copies of it were sent before.
    std::uint32_t acknowledged = 0;

    //! Token that the caller last received on this flow; 0 if none.
    std::uint32_t token = 0;

    std::uint16_t payloadBytes = 0;

    //! It may have waited while this VM was paused, and later copies gone through other VMs.
    bool mayHaveWaited = false;
};
}
