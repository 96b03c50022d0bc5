#pragma once

#include "global/name.h"

#include <cstdint>
#include <optional>
#include <string>

namespace radishladder::placement {

//! Fact: flows of slots whose table names this upstream may be elsewhere.
std::string markKey(std::uint64_t wireId);

//! Upstream of a mark's key; std::nullopt if \a factKey is none.
std::optional<std::uint64_t> markedWireId(const std::string &factKey);

//! Fact: the newest epoch up to which this VM needs no table of the service any more.
std::string releasedKey(const ServiceName &service);
}
