#pragma once

#include "evidence/types/evidencerecord.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishladder::evidence {

//! Content of one datagram between two VMs; has a fixed size, so that decoding allocates no memory.
struct EvidenceDatagram
{
    //! Bounds the bytes that one datagram can cost each receiver.
    static constexpr std::size_t kMaxRecords = 32;

    //! Hash of the sender's name.
    std::uint64_t sender = 0;

    //! Random number that the sender draws at its start; sequence numbers begin again with it.
    std::uint32_t senderStart = 0;
    std::uint32_t sequence = 0;

    std::size_t recordCount = 0;
    std::array<EvidenceRecord, kMaxRecords> records;

    std::span<const EvidenceRecord> usedRecords() const
    {
        return std::span(this->records).first(this->recordCount);
    }
};
}
