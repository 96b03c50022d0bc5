#pragma once

#include <cstdint>

namespace radishladder::store {

//! How a call to the store ended.
enum class StoreStatus : std::uint8_t {
    Ok,
    Missing, //!< no such key or lease
    Conflict, //!< a condition did not hold; nothing was done
    Compacted, //!< the history behind the asked revision is gone
    Refused, //!< the store turned the call away; nothing was done
    Unknown, //!< no answer or one that cannot be read; the call may have run or run yet
};
}
