#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

enum class FlowPhase : std::uint8_t {
    Opening, //!< no packet has shown yet which upstream accepted it
    Open,
    Closing, //!< the caller has finished
};

//! What this VM has seen of a flow; only a help, since every packet carries its token.
struct FlowRecord
{
    upstreams::UpstreamId upstream;
    FlowPhase phase = FlowPhase::Opening;

    //! A request waits for its answer.
    bool isBusy = false;

    //! Its silence was counted against the upstream since the last progress.
    bool isCountedSilent = false;

    std::uint32_t highestSequence = 0;
    std::uint32_t acknowledged = 0;

    std::chrono::steady_clock::time_point lastPacket;

    //! When the packet that still waits for an answer was first forwarded.
    std::chrono::steady_clock::time_point waitingSince;

    //! Packets that repeated an earlier one since the last progress; a burst counts once.
    int repeats = 0;
    std::chrono::steady_clock::time_point lastRepeat;
};
}
