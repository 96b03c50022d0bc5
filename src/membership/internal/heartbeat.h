#pragma once

#include "membership/internal/stateupdate.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace radishladder::membership {

//! Heartbeat and its answer. New fields are appended; readers skip those that they don't know.
struct Heartbeat
{
    //! Repeated by the answer.
    std::uint64_t sequence = 0;

    //! First incarnation of the sender's process, and how often it has refuted since.
    std::uint64_t start = 0;
    std::uint64_t refutations = 0;
    std::uint8_t state = 0;
    std::uint64_t generation = 0;
    std::int64_t documentRevision = 0;
    std::int64_t newestDocument = 0;
    std::int64_t vmListRevision = 0;
    std::int64_t wallUs = 0;
    std::uint32_t wallCounter = 0;
    std::vector<StateUpdate> updates;

    //! Packed ages of confirmations, see ConfirmationAges.
    std::vector<std::uint8_t> confirmations;
    std::vector<std::uint8_t> extension;

    //! In a heartbeat: the VM that the receiver shall probe. In an answer: the VM that was probed.
    std::string probed;

    MSGPACK_DEFINE_ARRAY(sequence, start, refutations, state, generation, documentRevision,
                         newestDocument, vmListRevision, wallUs, wallCounter, updates,
                         confirmations, extension, probed)
};
}
