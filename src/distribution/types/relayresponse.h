#pragma once

#include "store/types/storelisting.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace radishladder::distribution {

enum class RelayOutcome : std::uint8_t {
    Changes, //!< the listing contains changes or items
    NoChanges, //!< no changes so far
    Unavailable, //!< this VM cannot serve the request; query another VM or the store
    QueryStore, //!< the data is too large to send now; query the store
};

//! Response of a VM to a peer that watches a prefix through it, or to a VM that requests a
//! snapshot.
struct RelayResponse
{
    RelayOutcome outcome = RelayOutcome::Unavailable;
    store::StoreListing listing;

    //! The response includes every change that the store accepted until this long ago.
    std::chrono::milliseconds age{0};

    //! The same, but shown by other calls that the store answered while the sender's watch was
    //! pending: unlike \a age, no proof, since the connection of the watch may have failed.
    //! std::nullopt if the sender is of a release that doesn't send it.
    std::optional<std::chrono::milliseconds> freshAge;

    //! False if the response names no era, because the sender is of a release that knows none.
    bool hasEra = true;
};
}
