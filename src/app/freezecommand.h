#pragma once

#include "global/name.h"
#include "global/reason.h"

#include <optional>

namespace radishladder::net {
struct Endpoint;
}

namespace radishladder::app {

//! Sets the switch of \a scope, the whole fleet if it is std::nullopt, in the store at \a store;
//! blocks until the store has answered or its time is up.
Reason writeFreeze(const net::Endpoint &store, const std::optional<DataCentreName> &scope,
                   bool isFrozen);
}
