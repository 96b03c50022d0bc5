#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace radishladder::membership {

//! Up to which version all facts of a VM's process are known; twelve bytes in a message.
struct FactDigest
{
    std::uint32_t originHash = 0;

    //! Low bits of the start of the process.
    std::uint32_t start = 0;
    std::uint32_t version = 0;
};

std::vector<std::uint8_t> packDigests(const std::vector<FactDigest> &digests);
std::vector<FactDigest> unpackDigests(std::span<const std::uint8_t> bytes);
}
