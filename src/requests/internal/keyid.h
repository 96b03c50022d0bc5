#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace radishladder::requests {

//! Identifies an idempotency key of a service between VMs.
struct KeyId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const KeyId &) const = default;

    static KeyId of(const std::string &service, const std::string &key);
};
}
