#pragma once

#include "global/reason.h"

#include <optional>
#include <string>
#include <vector>

namespace radishladder::operations {
struct VmAddress;

//! Reads the platform's list of VMs; std::nullopt with \a reason set if it is malformed.
std::optional<std::vector<VmAddress>> readVmAddresses(const std::string &text, Reason &reason);
}
