#include "app/packetbuffer.h"

namespace radishladder::app {
namespace {
//! Clients retransmit a SYN after this time, so an older packet need not be forwarded.
constexpr std::chrono::milliseconds kMaxAge{200};
constexpr std::size_t kMaxPackets = 2048;
}

bool PacketBuffer::add(std::span<const std::uint8_t> datagram, TimePoint now)
{
    this->discardExpired(now);
    if (this->packets.size() >= kMaxPackets) {
        return false;
    }
    this->packets.push_back({now, {datagram.begin(), datagram.end()}});
    return true;
}

std::vector<std::vector<std::uint8_t>> PacketBuffer::takeUnexpired(TimePoint now)
{
    this->discardExpired(now);
    std::vector<std::vector<std::uint8_t>> unexpired;
    for (BufferedPacket &packet : this->packets) {
        unexpired.push_back(std::move(packet.datagram));
    }
    this->packets.clear();
    return unexpired;
}

void PacketBuffer::discardExpired(TimePoint now)
{
    while (!this->packets.empty() && now - this->packets.front().receivedAt >= kMaxAge) {
        this->packets.pop_front();
    }
}
}
