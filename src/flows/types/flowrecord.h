#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

enum class FlowPhase : std::uint8_t {
    Opening, //!< no packet has shown yet which upstream accepted the flow
    Open,
    Closing, //!< the client has sent its FIN
};

//! State of a flow as observed by this VM. A VM without the record can forward the flow too,
//! since every packet of an open flow carries the token of its upstream.
struct FlowRecord
{
    upstreams::UpstreamId upstream;
    FlowPhase phase = FlowPhase::Opening;

    //! A request of the client awaits its response.
    bool isBusy = false;

    //! The upstream has responded to a packet that this VM forwarded, so the flow is at the address
    //! that this VM knows.
    bool hasResponded = false;

    //! Another upstream than this one may have accepted the flow too, and the client may send its
    //! token.
    bool mayHaveOtherUpstream = false;

    //! This VM, or a peer that announced it, has seen which upstream the flow opened on. If not,
    //! the upstream is that of the first token that this VM received.
    bool isUpstreamProven = false;

    //! The flow is included in the silent flows of its upstream; cleared by the next response.
    bool isCountedAsSilent = false;

    //! Sequence number of the SYN, if this VM has received it.
    std::uint32_t initialSequence = 0;

    //! Highest sequence number and acknowledgement number that the client has sent.
    std::uint32_t highestSequence = 0;
    std::uint32_t acknowledged = 0;

    //! When this VM received the first packet of the flow.
    std::chrono::steady_clock::time_point recordedAt;
    std::chrono::steady_clock::time_point lastPacket;

    //! When the packet that awaits a response was first forwarded; if none does, when the last
    //! response was acknowledged.
    std::chrono::steady_clock::time_point waitingSince;

    //! Retransmissions since the last response; a burst counts once.
    int retransmissions = 0;
    std::chrono::steady_clock::time_point lastRetransmission;

    //! When the packet was transmitted before its last retransmission.
    std::chrono::steady_clock::time_point previousTransmission;
};
}
