#pragma once

#include "store/types/storestatus.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace radishladder::store {

//! Result of granting or renewing a lease.
struct StoreLease
{
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t id = 0;
    std::chrono::milliseconds timeToLive{0};
    std::string detail;

    //! Era of the store that sent the response; 0 if the store sends none. A lease of an older era
    //! does not exist any more, or its identifier belongs to another VM.
    std::uint64_t era = 0;
};
}
