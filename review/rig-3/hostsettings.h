#pragma once

#include "endpoint.h"
#include "eventloop.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace radishladder::review {

//! Identity and limits of a host.
struct HostSettings
{
    std::uint64_t id = 0;
    std::string service;
    std::string zone;
    Endpoint address;
    std::size_t maxFlows = 2000;
    std::size_t slots = 3;
    EventLoop::Duration workTime{10};

    //! How long the host stays cold after a start during traffic.
    EventLoop::Duration warmup{2000};
    EventLoop::Duration heartbeat{1200};
};
}
