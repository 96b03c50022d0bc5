#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::slopes {

//! Bytes of heap in use by this process.
std::uint64_t heapBytes();

//! Processor time that this thread has used.
std::chrono::nanoseconds threadTime();
}
