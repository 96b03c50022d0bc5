#pragma once

#include "flows/internal/flowtime.h"
#include "placement/types/upstreamindex.h"

#include <cstdint>

namespace radishladder::flows {

//! Number of another VM on this VM; never sent.
using PeerId = std::uint16_t;

inline constexpr PeerId kNoPeer = 0xffff;

//! Where one flow belongs, as its home or backup knows it.
struct FlowRecord
{
    enum Flag : std::uint8_t {
        //! Only first packets were seen.
        Opening = 1,
        Finished = 2,
        Reset = 4,

        //! Placed on another upstream than the table's.
        OffTable = 8,

        //! This VM holds the upstream's permit for it.
        Admitted = 16,

        //! Received from another VM.
        Replica = 32,
    };

    std::uint64_t hash = 0;
    placement::UpstreamIndex upstream = placement::kNoUpstream;

    FlowTime lastUsed = 0;
    FlowTime placedAt = 0;
    FlowTime lastSent = 0;

    //! VM that was sent the record.
    PeerId holder = kNoPeer;
    std::uint8_t flags = 0;

    bool has(Flag flag) const { return (this->flags & flag) != 0; }
    bool isEmpty() const { return this->upstream == placement::kNoUpstream; }
};
static_assert(sizeof(FlowRecord) == 32);
}
