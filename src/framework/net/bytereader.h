#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishladder::net {

//! Reads integers in network byte order; the caller checks the size first.
class ByteReader
{
public:
    explicit ByteReader(std::span<const std::uint8_t> bytes) : bytes(bytes) { }

    template <std::unsigned_integral Integer>
    Integer read()
    {
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i) {
            value = value << 8U | this->bytes[this->offset++];
        }
        return static_cast<Integer>(value);
    }

private:
    std::span<const std::uint8_t> bytes;
    std::size_t offset = 0;
};
}
