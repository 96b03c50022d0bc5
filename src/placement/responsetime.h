#pragma once

#include <chrono>

namespace radishladder::placement {

//! Returns the smoothed response time of an upstream after a response that took \a latest;
//! \a smoothed is 0 before the first one.
//!
//! Load pattern: a few requests take many times as long as others, on any upstream.
std::chrono::microseconds smoothResponseTime(std::chrono::microseconds smoothed,
                                             std::chrono::microseconds latest);

//! Returns by how much the load of an upstream with response time \a time weighs more than that of
//! the fastest one, whose response time is \a fastest: 1, 2, 4 or 8; 1 if either time is 0.
//!
//! Load pattern: some upstreams need several times as long for the same request.
double slownessOf(std::chrono::microseconds time, std::chrono::microseconds fastest);
}
