#pragma once

#include "store/types/storedvalue.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace radishladder::distribution {

//! Documents that one VM passes to another.
struct DocumentBatch
{
    //! In order of revision.
    std::vector<store::StoredValue> documents;

    //! Whoever knew everything up to where the batch starts knows everything up to here with it.
    std::int64_t upTo = 0;

    //! Further documents did not fit.
    bool isCut = false;

    //! The platform's list of VMs, if it is newer than the asking VM's.
    std::optional<store::StoredValue> vmList;
};
}
