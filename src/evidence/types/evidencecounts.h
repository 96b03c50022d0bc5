#pragma once

#include "evidence/types/rejection.h"

#include <array>
#include <cstdint>

namespace radishladder::evidence {

//! Records and bytes exchanged with other VMs since the start, for metrics.
struct EvidenceCounts
{
    std::uint64_t sentRecords = 0;
    std::uint64_t receivedRecords = 0;

    //! Bytes of datagrams, each counted once for every member that it is sent to.
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;

    //! Dropped datagrams by Rejection.
    std::array<std::uint64_t, kRejectionCount> rejected{};
};
}
