#pragma once

#include "global/reason.h"

#include <optional>
#include <string>
#include <vector>

namespace radishladder::membership {
struct ListedVm;

//! Reads the platform's list of VMs.
class VmListReader
{
public:
    //! std::nullopt if \a text is not a valid list (see lastReason()).
    std::optional<std::vector<ListedVm>> read(const std::string &text);

    const Reason &lastReason() const { return this->reason; }

private:
    Reason reason;
};
}
