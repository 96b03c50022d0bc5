#pragma once

#include <cstdint>

namespace radishladder::upstreams {

//! What this VM believes of an upstream's entry in the store.
enum class Presence : std::uint8_t {
    Present,
    Doubtful, //!< its entry went while the store was unstable; it may be back soon
    Gone,
};
}
