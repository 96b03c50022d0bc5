#pragma once

#include <cstdint>

namespace radishladder::store {

//! Outcome of a call to the store.
enum class StoreStatus : std::uint8_t {
    Ok,
    Missing, //!< no such key or lease
    Conflict, //!< a condition did not hold; the store changed nothing
    Compacted, //!< the store no longer has all changes after the requested revision
    Refused, //!< the store refused the call and changed nothing
    Unknown, //!< no response or an invalid one; the call may have run or may still run
};
}
