#pragma once

#include "flows/internal/flowtime.h"
#include "flows/types/packetinfo.h"
#include "flows/types/packetsource.h"
#include "placement/types/slotview.h"

#include <chrono>

namespace radishladder::flows {

//! A packet of a known service and what the tables say about its flow.
struct FlowPacket
{
    PacketInfo info;
    PacketSource source = PacketSource::Fabric;
    std::uint64_t hash = 0;
    placement::ServiceIndex service = 0;
    placement::SlotView view;
    std::chrono::steady_clock::time_point now;
    FlowTime time = 0;
};
}
