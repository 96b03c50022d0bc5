#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

//! One record as it is sent to another VM.
struct SentRecord
{
    std::uint64_t hash = 0;
    std::uint64_t wireId = 0;

    //! FlowRecord::Flag values that other VMs need.
    std::uint8_t flags = 0;

    //! The flow ended: forget it.
    bool ended = false;

    //! Time since the last packet.
    std::chrono::seconds age{0};
};
}
