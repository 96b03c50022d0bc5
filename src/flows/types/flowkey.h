#pragma once

#include "net/types/endpoint.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace radishladder::flows {

//! The two ends of a flow as the caller sees them.
struct FlowKey
{
    net::Endpoint caller;
    net::Endpoint service;

    auto operator<=>(const FlowKey &) const = default;
};

//! 64-bit hash of \a key that is equal on every VM.
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
