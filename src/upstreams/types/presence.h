#pragma once

#include <cstdint>

namespace radishladder::upstreams {

//! Whether an upstream has an entry in the store, as far as this VM can determine.
enum class Presence : std::uint8_t {
    Present,
    Doubtful, //!< its entry disappeared while the store was unstable; it may soon be written again
    Gone,
};
}
