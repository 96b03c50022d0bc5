#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <vector>

namespace radishladder::membership {
class IMembership;
}

namespace radishladder::distribution {

//! Returns the members of a data centre through which \a self may watch the store, in order of
//! preference; empty if \a self is to use the store directly.
//!
//! Load pattern: every change completes the watch of every VM that watches the store directly, so
//! calls to the store grow with VMs times changes. On a narrow link, relaying changes costs more
//! than it saves the store.
std::vector<net::Endpoint> relaysFor(const VmName &self, const membership::IMembership &membership);

//! Returns true if \a self is a relay for the other members.
bool isRelay(const VmName &self, const membership::IMembership &membership);
}
