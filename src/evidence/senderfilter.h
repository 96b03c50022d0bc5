#pragma once

#include "evidence/types/rejection.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace radishladder::evidence {
struct EvidenceDatagram;

//! Rejects datagrams of unknown senders, and datagrams that were repeated or arrive out of order.
class SenderFilter
{
public:
    explicit SenderFilter(std::uint64_t self) : self(self) { }

    //! Replaces the members; the state of members that stay is kept.
    void setMembers(std::span<const std::uint64_t> members);

    //! Returns why \a datagram is dropped; otherwise records its sequence number and returns
    //! Rejection::None.
    Rejection check(const EvidenceDatagram &datagram);

private:
    struct Sender
    {
        bool isKnown = false;
        std::uint32_t start = 0;
        std::uint32_t previousStart = 0;
        std::uint32_t sequence = 0;
    };

    std::uint64_t self;
    std::unordered_map<std::uint64_t, Sender> senders;
};
}
