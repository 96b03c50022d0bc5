#pragma once

#include "membership/internal/factentry.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace radishladder::membership {

//! Brings whoever knows the facts of \a origin up to \a after forward to \a upTo.
struct FactDelta
{
    std::string origin;
    std::uint64_t start = 0;
    std::uint64_t after = 0;
    std::uint64_t upTo = 0;
    std::vector<FactEntry> entries;

    MSGPACK_DEFINE_ARRAY(origin, start, after, upTo, entries)
};
}
