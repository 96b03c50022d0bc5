#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace radishladder::store {

//! A write of one key.
struct StoreWrite
{
    std::string key;
    std::string value;

    //! Lease with which the key expires; 0 for none.
    std::uint64_t lease = 0;

    //! If set, the write happens only if this is the key's revision (0: the key does not exist).
    std::optional<std::uint64_t> expectedRevision;
};
}
