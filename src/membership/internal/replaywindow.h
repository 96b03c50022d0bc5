#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace radishladder::membership {

//! Counters of one sender that were received; accepts each once, in any order within a span.
class ReplayWindow
{
public:
    //! True if \a counter is new; notes it.
    bool accept(std::uint64_t counter);

private:
    static constexpr std::size_t kSpan = 1024;

    std::uint64_t highest = 0;
    std::bitset<kSpan> seen;
};
}
