#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishladder::flows {
struct SharedFlowDatagram;

//! First two bytes of each datagram, in network byte order.
inline constexpr std::uint16_t kSharedFlowMagic = 0x5266;

//! Flows in one datagram, which then fits into one packet of the network.
inline constexpr std::size_t kMaxFlowsPerDatagram = 32;

//! Largest size of an encoded datagram, in bytes.
inline constexpr std::size_t kMaxSharedFlowBytes = 5 + kMaxFlowsPerDatagram * 27;

//! Writes \a datagram, which is sent at \a now, to \a out, which must hold kMaxSharedFlowBytes;
//! returns the size.
std::size_t encodeSharedFlows(const SharedFlowDatagram &datagram,
                              std::chrono::steady_clock::time_point now,
                              std::span<std::uint8_t> out);

//! Decodes \a bytes, which were received at \a now; std::nullopt if they are no valid datagram.
std::optional<SharedFlowDatagram> decodeSharedFlows(std::span<const std::uint8_t> bytes,
                                                    std::chrono::steady_clock::time_point now);
}
