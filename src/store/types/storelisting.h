#pragma once

#include "store/types/storeitem.h"
#include "store/types/storestatus.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::store {

//! Items of a prefix, or what changed under it.
struct StoreListing
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoreItem> items;

    //! Revision of the store that the answer shows; a watch continues from here.
    std::uint64_t revision = 0;

    //! More items follow behind the last one.
    bool hasMore = false;

    //! A neighbour passed it on; it cost no call to the store.
    bool isRelayed = false;

    //! Set if the store did not answer, and a neighbour handed over what it heard so long ago.
    std::optional<std::chrono::milliseconds> age;

    //! Why there is no listing.
    std::string detail;
};
}
