#pragma once

#include "upstreams/types/digest.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace radishladder::upstreams {

std::vector<std::uint8_t> encodeDigest(const Digest &digest);

//! std::nullopt if \a bytes hold no digest; fields added by later versions are ignored.
std::optional<Digest> decodeDigest(std::span<const std::uint8_t> bytes);
}
