#pragma once

#include <cstdint>

namespace radishladder::store {

//! Consistency of a listing.
enum class ReadKind : std::uint8_t {
    Linearizable,
    Stale, //!< may return data that is seconds old; costs the store a tenth of a
           //!< linearizable read
};
}
