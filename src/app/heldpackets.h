#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace radishladder::app {

//! Packets that arrived before this VM knew where to send them; does no I/O and reads no clock.
//!
//! Load pattern: all VMs start at once and callers repeat their first packets after 200 ms only, so
//! each one dropped in the first milliseconds costs far more than the milliseconds.
class HeldPackets
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Keeps a copy of \a datagram; false if there is no room.
    bool hold(std::span<const std::uint8_t> datagram, TimePoint now);

    //! Empties the store and returns what has not grown too old, oldest first.
    std::vector<std::vector<std::uint8_t>> takeFresh(TimePoint now);

    bool isEmpty() const { return this->held.empty(); }

private:
    struct Held
    {
        TimePoint since;
        std::vector<std::uint8_t> datagram;
    };

    void dropOld(TimePoint now);

    std::deque<Held> held;
};
}
