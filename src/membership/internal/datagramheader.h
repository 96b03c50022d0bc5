#pragma once

#include "membership/types/messagekind.h"

#include <cstdint>

namespace radishladder::membership {

//! Clear part of a datagram between VMs; authenticated, not encrypted.
struct DatagramHeader
{
    std::uint8_t version = 0;
    MessageKind kind = MessageKind::Heartbeat;
    std::uint64_t sender = 0;
    std::uint64_t start = 0;
    std::uint64_t counter = 0;
};
}
