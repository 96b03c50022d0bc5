#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace radishladder::app {

//! Buffers packets that arrive before this VM has received its configuration and the upstreams;
//! does no I/O and reads no clock.
//!
//! Load pattern: all VMs start at once. Clients retransmit a SYN only after 200 ms, so a SYN
//! dropped in the first milliseconds delays its flow for much longer than buffering it.
class PacketBuffer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Stores a copy of \a datagram; returns false if the buffer is full.
    bool add(std::span<const std::uint8_t> datagram, TimePoint now);

    //! Empties the buffer and returns the packets that have not expired, oldest first.
    std::vector<std::vector<std::uint8_t>> takeUnexpired(TimePoint now);

    bool isEmpty() const { return this->packets.empty(); }

private:
    struct BufferedPacket
    {
        TimePoint receivedAt;
        std::vector<std::uint8_t> datagram;
    };

    void discardExpired(TimePoint now);

    std::deque<BufferedPacket> packets;
};
}
