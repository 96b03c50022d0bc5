#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace radishladder::evidence {

//! Why a datagram of a peer is dropped.
enum class Rejection : std::uint8_t {
    None,
    Truncated,
    TooLong,
    WrongMagic,
    WrongVersion,
    AgeOutOfRange,
    OwnDatagram,
    UnknownSender,
    Replayed, //!< repeated, out of order, or from before the last restart of its sender
    Queued, //!< may have waited while this VM was paused
    Inactive, //!< the data centre has too few members
};

inline constexpr std::size_t kRejectionCount = 11;

//! Returns the name of \a rejection in metrics.
std::string_view rejectionName(Rejection rejection);
}
