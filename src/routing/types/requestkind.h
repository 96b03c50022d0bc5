#pragma once

#include <cstdint>

namespace radishladder::routing {

//! What a route's requests are, which decides what callers may repeat.
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Upload, //!< non-idempotent with a large body
};
}
