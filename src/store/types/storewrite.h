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

    //! Lease that the key ends with; 0 for none.
    std::uint64_t lease = 0;

    //! Written only if this is the key's revision (0: it does not exist).
    std::optional<std::uint64_t> expectedRevision;
};
}
