#pragma once

#include "global/reason.h"

#include <optional>

namespace radishladder::settings {
struct Configuration;

//! Returns the first name or address that two services or two upstreams of \a configuration share;
//! std::nullopt if all differ.
std::optional<Reason> findDuplicate(const Configuration &configuration);
}
