#pragma once

#include "store/types/storeitem.h"
#include "store/types/storerevision.h"
#include "store/types/storestatus.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::store {

//! Items of a prefix, or the changes under it.
struct StoreListing
{
    StoreStatus status = StoreStatus::Unknown;
    std::vector<StoreItem> items;

    //! Store revision that the response reflects; a watch continues from this revision.
    std::uint64_t revision = 0;

    //! Era of the store at this revision; 0 if the store sends none.
    std::uint64_t era = 0;

    //! True if further items follow the last one.
    bool hasMore = false;

    //! True if a relay sent the listing, so that it cost no call to the store.
    bool isRelayed = false;

    //! Set if the store did not respond and another VM sent its snapshot instead: time since that
    //! VM last received data of the store.
    std::optional<std::chrono::milliseconds> age;

    //! The response includes every change that the store accepted before this time: the time at
    //! which the call was sent, since responses are linearizable. The epoch if the response proves
    //! nothing.
    std::chrono::steady_clock::time_point confirmedAt;

    //! Error text if there is no listing.
    std::string detail;

    //! Returns the revision with its era.
    StoreRevision storeRevision() const { return {.era = this->era, .revision = this->revision}; }
};
}
