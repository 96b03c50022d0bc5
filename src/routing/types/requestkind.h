#pragma once

#include <cstdint>

namespace radishladder::routing {

//! Kind of a route's requests; determines which requests clients may retry.
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Upload, //!< non-idempotent with a large body
};
}
