#pragma once

#include <cstddef>

namespace radishladder::placement {

//! Returns a cautious estimate of the requests in flight per slot over upstreams with \a slots
//! slots in all, from \a ownRequests requests of this VM in flight on them, when each of \a vmCount
//! VMs forwards as many; 0 if there are no slots.
//!
//! Load pattern: a VM of many has few requests of its own in flight, and their number varies while
//! the load of the upstreams does not.
double estimateMeanLoad(int ownRequests, std::size_t vmCount, int slots);
}
