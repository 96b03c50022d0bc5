#pragma once

#include "flows/types/flowpacket.h"
#include "upstreams/types/upstreamid.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishladder::flows {

//! Translates between datagrams and packets of flows.
class IPacketCodec
{
public:
    virtual ~IPacketCodec() = default;

    //! std::nullopt if \a datagram is no packet of a caller.
    virtual std::optional<FlowPacket> decode(std::span<const std::uint8_t> datagram) const = 0;

    //! Writes \a datagram for the upstream \a id with \a token into \a out; returns the bytes
    //! written, 0 if \a out is too small.
    virtual std::size_t encodeForward(std::span<const std::uint8_t> datagram,
                                      upstreams::UpstreamId id, std::uint32_t token,
                                      std::span<std::uint8_t> out) const = 0;

    //! Writes a reset that answers \a packet into \a out; returns the bytes written, 0 if \a out is
    //! too small.
    virtual std::size_t encodeReset(const FlowPacket &packet,
                                    std::span<std::uint8_t> out) const = 0;
};
}
