#pragma once

#include "flows/types/flowpacket.h"
#include "upstreams/types/upstreamid.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishladder::flows {

//! Decodes datagrams of clients and encodes datagrams to upstreams and clients.
class IPacketCodec
{
public:
    virtual ~IPacketCodec() = default;

    //! Returns std::nullopt if \a datagram isn't a packet of a client.
    virtual std::optional<FlowPacket> decode(std::span<const std::uint8_t> datagram) const = 0;

    //! Encodes \a datagram for the upstream \a id with \a token into \a out. Returns the number of
    //! bytes written, 0 if \a out is too small.
    virtual std::size_t encodeForward(std::span<const std::uint8_t> datagram,
                                      upstreams::UpstreamId id, std::uint32_t token,
                                      std::span<std::uint8_t> out) const = 0;

    //! Encodes a reset in response to \a packet into \a out. Returns the number of bytes written, 0
    //! if \a out is too small.
    virtual std::size_t encodeReset(const FlowPacket &packet,
                                    std::span<std::uint8_t> out) const = 0;
};
}
