#pragma once

#include "endpoint.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace radishladder::review {

//! Ends of a flow as the client's packets name them: the client's and the route's.
using FlowKey = std::pair<Endpoint, Endpoint>;

//! Packet of a flow, as PROTOCOL.md describes it. The checksum has a key of its own.
struct Packet
{
    Endpoint source;
    Endpoint target;
    bool isSyn = false;
    bool isAck = false;
    bool isFin = false;
    bool isRst = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0;
    std::string data;
};

std::vector<std::uint8_t> encodePacket(const Packet &packet);

//! Returns std::nullopt if \a bytes are no packet or have a wrong checksum; resets of the system
//! have none.
std::optional<Packet> decodePacket(std::span<const std::uint8_t> bytes);

//! Reads or writes the 8 bytes before a packet that name the intended host.
std::uint64_t readHostId(std::span<const std::uint8_t> bytes);
}
