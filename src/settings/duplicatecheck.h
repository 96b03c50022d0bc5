#pragma once

#include "global/reason.h"

#include <optional>

namespace radishladder::settings {
struct Configuration;

//! Returns an error for the first name or address that two services or two upstreams of
//! \a configuration share; std::nullopt if there is none.
std::optional<Reason> findDuplicate(const Configuration &configuration);
}
