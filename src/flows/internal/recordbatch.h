#pragma once

#include "flows/internal/sentrecord.h"

#include <vector>

namespace radishladder::flows {

//! Records in one datagram.
struct RecordBatch
{
    std::uint64_t sequence = 0;
    std::vector<SentRecord> records;
};
}
