#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishladder::net {

//! IPv4 address and port, both in host byte order.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

//! Returns \a address in dotted-quad notation.
std::string addressText(std::uint32_t address);

//! Returns \a endpoint as "a.b.c.d:port".
std::string endpointText(const Endpoint &endpoint);

//! Parses an address in dotted-quad notation; returns std::nullopt if \a text is malformed.
std::optional<std::uint32_t> parseAddress(std::string_view text);

//! Parses "a.b.c.d:port"; returns std::nullopt if \a text is malformed.
std::optional<Endpoint> parseEndpoint(std::string_view text);
}
