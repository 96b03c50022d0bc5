#pragma once

#include <cstdint>

namespace radishladder::upstreams {

//! What hinders an upstream besides being cold; the worst of several views wins.
enum class Condition : std::uint8_t {
    Serving = 0,
    Shedding = 1,
    Leaving = 2,
    Gone = 3,
};
}
