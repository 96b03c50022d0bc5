#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <vector>

namespace radishladder::membership {
class IMembership;
}

namespace radishladder::distribution {

//! Members of a data centre that \a self may follow the store through, the best first; empty if it
//! asks the store itself.
//!
//! Load pattern: each VM's own watch is answered on each change, so that calls to the store grow
//! with VMs times changes. Passing changes on costs a narrow link more than it saves the store.
std::vector<net::Endpoint> relaysFor(const VmName &self, const membership::IMembership &membership);
}
