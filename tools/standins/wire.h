#pragma once

#include "global/name.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace radishladder::standins {

//! UDP port on which callers receive the answers of their flows.
inline constexpr std::uint16_t kCallerPort = 6081;

//! Payload of an answer in a flow: what the caller sent, then the name of the upstream.
std::vector<std::uint8_t> encodeFlowAnswer(std::span<const std::uint8_t> sent,
                                           const UpstreamName &name);

//! Answer that an upstream must give, by content, so that a caller can check that it is whole and
//! its own.
std::string expectedAnswer(const std::string &path, const std::string &body);
}
