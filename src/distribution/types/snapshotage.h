#pragma once

#include <cstdint>

namespace radishladder::distribution {

//! Maximum age of a snapshot that a VM requests from another VM.
enum class SnapshotAge : std::uint8_t {
    New, //!< the responding VM watches the prefix at the store itself and is up to date
    Polled, //!< at most as old as a prefix that is listed periodically
    Any, //!< of any age; requested while the store does not respond
};
}
