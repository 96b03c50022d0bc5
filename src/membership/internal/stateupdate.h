#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace radishladder::membership {

//! What one VM tells of the state of another.
struct StateUpdate
{
    std::string vm;
    std::uint8_t state = 0;
    std::uint64_t incarnation = 0;

    MSGPACK_DEFINE_ARRAY(vm, state, incarnation)
};
}
