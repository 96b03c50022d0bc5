#pragma once

#include "global/name.h"
#include "global/reason.h"

#include <optional>

namespace radishladder::net {
struct Endpoint;
}

namespace radishladder::app {

//! Writes the freeze switch of \a scope (std::nullopt: the whole fleet) to the store at \a store.
//! While the switch is frozen, VMs take no automatic actions. Blocks until the store has responded
//! or the request has timed out, and returns the result of the write.
Reason writeFreeze(const net::Endpoint &store, const std::optional<DataCentreName> &scope,
                   bool isFrozen);
}
