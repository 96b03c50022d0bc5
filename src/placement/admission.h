#pragma once

#include <cstdint>

namespace radishladder::placement {

//! Returns true if a new flow may go to an upstream with \a load requests in flight per slot;
//! otherwise its SYN is dropped, and its client retransmits it. \a retransmissions is the number of
//! times that the SYN was sent before.
//!
//! Load pattern: after an outage of all VMs the clients that opened flows within two seconds
//! retransmit their SYNs at once. Upstreams with full queues reject requests, and requests that
//! wait in full queues get late responses, whether the SYN of their flow was retransmitted or not.
bool admitsSyn(double load, std::uint32_t retransmissions);
}
