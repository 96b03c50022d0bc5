#include "app/heldpackets.h"

namespace radishladder::app {
namespace {
//! Callers repeat a first packet after this time, so an older copy is of no more use.
constexpr std::chrono::milliseconds kUseful{200};
constexpr std::size_t kMostPackets = 2048;
}

bool HeldPackets::hold(std::span<const std::uint8_t> datagram, TimePoint now)
{
    this->dropOld(now);
    if (this->held.size() >= kMostPackets) {
        return false;
    }
    this->held.push_back({now, {datagram.begin(), datagram.end()}});
    return true;
}

std::vector<std::vector<std::uint8_t>> HeldPackets::takeFresh(TimePoint now)
{
    this->dropOld(now);
    std::vector<std::vector<std::uint8_t>> fresh;
    for (Held &packet : this->held) {
        fresh.push_back(std::move(packet.datagram));
    }
    this->held.clear();
    return fresh;
}

void HeldPackets::dropOld(TimePoint now)
{
    while (!this->held.empty() && now - this->held.front().since >= kUseful) {
        this->held.pop_front();
    }
}
}
