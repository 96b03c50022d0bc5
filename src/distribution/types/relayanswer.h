#pragma once

#include "store/types/storelisting.h"

#include <chrono>
#include <cstdint>

namespace radishladder::distribution {

enum class RelayVerdict : std::uint8_t {
    Changes, //!< the listing holds them
    Nothing, //!< none so far
    Unable, //!< this VM cannot tell; ask another one or the store
    AskStore, //!< there is something, too large to pass on now
};

//! What a VM tells a neighbour that follows a prefix through it.
struct RelayAnswer
{
    RelayVerdict verdict = RelayVerdict::Unable;
    store::StoreListing listing;

    //! Since the neighbour last heard the store, if a copy of any age was asked for.
    std::chrono::milliseconds age{0};
};
}
