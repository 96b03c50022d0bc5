#pragma once

#include <cstdint>
#include <string>

namespace radishladder::store {

//! One key as it stands in the store, or its removal.
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
