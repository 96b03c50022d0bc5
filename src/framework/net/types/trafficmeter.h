#pragma once

#include <cstdint>

namespace radishladder::net {

//! Number of bytes in HTTP request targets and in bodies; headers are not counted.
struct TrafficMeter
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};
}
