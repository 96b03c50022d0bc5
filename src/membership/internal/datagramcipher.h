#pragma once

#include "global/reason.h"
#include "membership/internal/datagramheader.h"

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace radishladder::membership {

//! Seals and opens datagrams with XChaCha20-Poly1305; the first key seals, every key opens.
class DatagramCipher
{
public:
    static constexpr std::uint8_t kVersion = 1;
    static constexpr std::size_t kHeaderBytes = 26;
    static constexpr std::size_t kTagBytes = 16;

    explicit DatagramCipher(const std::vector<std::string> &hexKeys);

    std::vector<std::uint8_t> seal(const DatagramHeader &header, std::uint64_t receiver,
                                   std::span<const std::uint8_t> plain) const;

    //! Header of \a datagram, not yet authenticated; std::nullopt if it has none.
    std::optional<DatagramHeader> header(std::span<const std::uint8_t> datagram);

    //! std::nullopt if no key opens \a datagram for \a receiver.
    std::optional<std::vector<std::uint8_t>> open(std::span<const std::uint8_t> datagram,
                                                  std::uint64_t receiver);

    const Reason &lastReason() const { return this->reason; }

private:
    using Key = std::array<std::uint8_t, 32>;

    std::vector<Key> keys;
    Reason reason;
};
}
