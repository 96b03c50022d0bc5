#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

//! Upstream of a flow that VMs share, because the token of the client's packets may name
//! another one or because the flow may continue through a VM that has no record of it.
struct SharedFlow
{
    upstreams::UpstreamId upstream;

    //! Sequence number of the SYN; distinguishes the flow from a later one of the same addresses.
    std::uint32_t initialSequence = 0;

    //! True if the upstream holds the flow open; false if it is the one that was sent the SYN.
    bool isOpen = false;

    //! When the first packet of the flow was received by any VM.
    std::chrono::steady_clock::time_point openingSince;
};
}
