#pragma once

#include "evidence/types/rejection.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace radishladder::evidence {
struct EvidenceDatagram;

//! First two bytes of each datagram, in network byte order.
inline constexpr std::uint16_t kEvidenceMagic = 0x5265;

//! Largest size of an encoded datagram, in bytes.
inline constexpr std::size_t kMaxEvidenceBytes = 20 + 32 * 15;

//! Writes \a datagram to \a out, which must hold kMaxEvidenceBytes; returns the size.
std::size_t encodeEvidence(const EvidenceDatagram &datagram, std::span<std::uint8_t> out);

//! Decodes \a bytes into \a datagram; returns why they are no valid datagram, or Rejection::None.
Rejection decodeEvidence(std::span<const std::uint8_t> bytes, EvidenceDatagram &datagram);
}
