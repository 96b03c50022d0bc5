#pragma once

#include <cstdint>

namespace radishladder::store {

//! How new what a listing shows must be.
enum class ReadKind : std::uint8_t {
    Linearizable,
    Stale, //!< may be seconds old; costs a tenth
};
}
