#pragma once

#include <cstdint>

namespace radishladder::membership {

//! Purpose of a datagram between VMs.
enum class MessageKind : std::uint8_t {
    Heartbeat = 1,
    HeartbeatReply = 2,
    Facts = 3,
    VmListSample = 4,
    FlowRecords = 20,
    FlowHints = 21,
    FlowPull = 22,
    KeyClaim = 30,
    KeyReply = 31,
    KeyRecord = 32,
    ConfigurationPull = 40,
    ConfigurationPart = 41,
    EpochPull = 42,
    EpochPart = 43,
};
}
