#pragma once

#include <cstdint>

namespace radishladder::placement {

//! Returns true if a new flow may go to an upstream with \a load requests in flight per slot;
//! otherwise its SYN is dropped, and its client retransmits it. \a retransmissions is the number of
//! times that the SYN was sent before.
//!
//! Load pattern: after an outage of all VMs the clients of two seconds retransmit at once.
//! Upstreams with full queues reject requests, and requests that wait in full queues get late
//! responses, those of new flows as well as those of retransmitted ones.
bool admitsSyn(double load, std::uint32_t retransmissions);
}
