#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>

namespace radishladder::net {

//! Writes integers in network byte order; the caller provides enough space.
class ByteWriter
{
public:
    explicit ByteWriter(std::span<std::uint8_t> out) : out(out) { }

    template <std::unsigned_integral Integer>
    void write(Integer value)
    {
        for (std::size_t i = sizeof(Integer); i-- > 0;) {
            this->out[this->offset++] = static_cast<std::uint8_t>(std::uint64_t{value} >> (8 * i));
        }
    }

    std::size_t size() const { return this->offset; }

private:
    std::span<std::uint8_t> out;
    std::size_t offset = 0;
};
}
