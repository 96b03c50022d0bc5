#pragma once

#include "membership/internal/factdelta.h"
#include "membership/internal/factentry.h"
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace radishladder::membership {

//! Attachment of heartbeats and payload of MessageKind::Facts. New fields are appended.
struct FactsMessage
{
    //! Hash over everything that the sender knows.
    std::uint32_t summary = 0;

    //! Low bits of the start of the receiver's process, and up to which version the sender knows
    //! its facts.
    std::uint32_t acknowledgedStart = 0;
    std::uint64_t acknowledgedVersion = 0;

    //! The receiver shall acknowledge at once.
    bool wantsAnswer = false;

    //! Packed FactDigests. In answers to heartbeats: what the sender knows. In Facts: what it
    //! lacks.
    std::vector<std::uint8_t> digests;
    bool isDigestWhole = false;
    std::vector<FactDelta> deltas;

    MSGPACK_DEFINE_ARRAY(summary, acknowledgedStart, acknowledgedVersion, wantsAnswer, digests,
                         isDigestWhole, deltas)
};
}
