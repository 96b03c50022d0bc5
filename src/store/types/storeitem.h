#pragma once

#include <cstdint>
#include <string>

namespace radishladder::store {

//! One key with its current value in the store, or the removal of the key.
struct StoreItem
{
    std::string key;
    std::string value;

    //! Revision of the last change.
    std::uint64_t revision = 0;

    //! Revision at which the key was created.
    std::uint64_t createdRevision = 0;

    bool isRemoval = false;
};
}
