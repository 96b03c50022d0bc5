#pragma once

#include <cstdint>

namespace radishladder::placement {

//! Number of an upstream on this VM, stable while the process runs; never sent to another VM.
using UpstreamIndex = std::uint32_t;

//! Number of a service on this VM, stable while the process runs; never sent to another VM.
using ServiceIndex = std::uint32_t;

inline constexpr UpstreamIndex kNoUpstream = 0xffffffff;
}
