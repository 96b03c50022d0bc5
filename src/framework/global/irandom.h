#pragma once

#include <cstdint>

namespace radishladder {

//! Source of random numbers; tests use a SeededRandom with a fixed seed.
class IRandom
{
public:
    virtual ~IRandom() = default;

    //! Returns a uniformly distributed 64-bit value.
    virtual std::uint64_t next() = 0;
};
}
