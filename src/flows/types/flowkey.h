#pragma once

#include "net/types/endpoint.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace radishladder::flows {

//! Identifies a flow by the addresses that the client uses.
struct FlowKey
{
    net::Endpoint client;
    net::Endpoint service;

    auto operator<=>(const FlowKey &) const = default;
};

//! Returns a 64-bit hash of \a key that is the same on every VM.
std::uint64_t flowHash(const FlowKey &key);
}

template <>
struct std::hash<radishladder::flows::FlowKey>
{
    std::size_t operator()(const radishladder::flows::FlowKey &key) const noexcept
    {
        return radishladder::flows::flowHash(key);
    }
};
