#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace radishladder::membership {

//! One fact of a VM, or that it was withdrawn.
struct FactEntry
{
    std::string key;
    std::uint64_t version = 0;
    bool isPresent = false;
    std::vector<std::uint8_t> value;

    MSGPACK_DEFINE_ARRAY(key, version, isPresent, value)
};
}
