#pragma once

#include <cstdint>

namespace radishladder::upstreams {

//! State that an upstream claims for itself.
enum class ReportedState : std::uint8_t {
    Starting = 0,
    Ready = 1,
    Shedding = 2,
    Leaving = 3,
};

//! Answer of an upstream to GET /load; it may lag or mislead.
struct LoadReport
{
    ReportedState state = ReportedState::Starting;
    int running = 0;
    int slots = 0;
    int connections = 0;
};
}
