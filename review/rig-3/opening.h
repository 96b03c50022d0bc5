#pragma once

#include "eventloop.h"
#include "packet.h"

#include <cstdint>

namespace radishladder::review {

//! A flow that opened at a host, judged by the opening packet that the host took.
struct Opening
{
    FlowKey flow;

    //! Number of the copy of the SYN that the host took; 0 for the first transmission.
    std::uint32_t copy = 0;

    EventLoop::Clock::time_point arrivedAt;

    //! The host was cold when the packet arrived.
    bool isCold = false;
};
}
