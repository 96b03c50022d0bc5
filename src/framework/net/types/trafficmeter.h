#pragma once

#include <cstdint>

namespace radishladder::net {

//! Number of bytes in HTTP request targets and bodies, and in datagrams between VMs; headers are
//! not counted.
struct TrafficMeter
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};
}
