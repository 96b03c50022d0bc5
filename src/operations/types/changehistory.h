#pragma once

#include "operations/types/changerecord.h"

namespace radishladder::operations {

//! The last accepted changes, newest first.
struct ChangeHistory
{
    std::vector<ChangeRecord> changes;

    //! Digests of the parts of the last few generations, newest first.
    std::vector<std::vector<std::string>> parts;

    bool operator==(const ChangeHistory &) const = default;
};
}
