#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace radishladder::upstreams {

//! Identifies an upstream; unlike an address, an identifier is not reused for another upstream.
struct UpstreamId
{
    std::uint64_t value = 0;

    auto operator<=>(const UpstreamId &) const = default;
};

//! Returns the identifier as 16 hexadecimal digits.
std::string upstreamIdText(UpstreamId id);

//! Returns the token that the packets of flows to upstream \a id carry; equal on every VM, never 0.
std::uint32_t flowToken(UpstreamId id);
}

template <>
struct std::hash<radishladder::upstreams::UpstreamId>
{
    std::size_t operator()(const radishladder::upstreams::UpstreamId &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.value);
    }
};
