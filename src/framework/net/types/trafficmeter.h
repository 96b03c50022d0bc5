#pragma once

#include <cstdint>

namespace radishladder::net {

//! Bytes of HTTP targets and bodies; heads are left out.
struct TrafficMeter
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};
}
