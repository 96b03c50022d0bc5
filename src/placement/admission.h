#pragma once

#include <cstdint>

namespace radishladder::placement {

//! True if a new flow may go to an upstream with \a load requests in flight for each slot;
//! otherwise its first packet is left to its caller's repeat. \a copy is how many times it was
//! repeated.
//!
//! Load pattern: after a loss of all VMs the callers of two seconds come back at once. What goes to
//! upstreams whose queues are full is shed, and what waits in them is late, the fresh with the old.
bool admitsOpening(double load, std::uint32_t copy);
}
