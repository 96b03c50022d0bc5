#include "flows/types/flowkey.h"

namespace radishladder::flows {
namespace {
//! Finalizer of SplitMix64: every bit of \a value affects every bit of the result.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t packEndpoint(const net::Endpoint &endpoint)
{
    return std::uint64_t{endpoint.address} << 16U | endpoint.port;
}
}

std::uint64_t flowHash(const FlowKey &key)
{
    return mix(mix(packEndpoint(key.client)) ^ packEndpoint(key.service));
}
}
