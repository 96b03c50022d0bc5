#pragma once

#include "flows/types/flowkey.h"

#include <cstdint>

namespace radishladder::flows {

//! Fields of a client's packet that decisions on flows depend on.
struct FlowPacket
{
    FlowKey flow;

    bool isSyn = false;
    bool isFin = false;
    bool isRst = false;

    std::uint32_t sequence = 0;

    //! Acknowledgement number; in a SYN, which acknowledges nothing, the number of its earlier
    //! transmissions: 0 in the first one.
    std::uint32_t acknowledged = 0;

    //! Token that the client last received on this flow; 0 if none.
    std::uint32_t token = 0;

    std::uint16_t payloadBytes = 0;

    //! The packet may have been queued while this VM was paused, and later retransmissions of it
    //! may have gone through other VMs.
    bool mayHaveBeenQueued = false;
};
}
