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
};
}
