#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace radishladder::upstreams {

//! Identifies one incarnation of an upstream; an address may be reused, an identifier is not.
struct UpstreamId
{
    std::uint64_t value = 0;

    auto operator<=>(const UpstreamId &) const = default;
};

//! 16 hexadecimal digits.
std::string upstreamIdText(UpstreamId id);

//! Token that flows on \a id carry: equal on every VM, never 0.
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
