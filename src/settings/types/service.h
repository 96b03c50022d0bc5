#pragma once

#include "settings/types/upstream.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace radishladder::settings {

//! Transport protocol of the flows of a service.
enum class Protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

//! A service as operators configure it.
struct Service
{
    ServiceName name;

    //! Address and port to which clients open flows.
    net::Endpoint address;

    Protocol protocol = Protocol::Tcp;

    //! A flow without packets for this long is considered ended.
    std::chrono::seconds idleTimeout{3600};

    //! Importance under overload; the service with the highest value is refused last.
    int priority = 10;

    //! Longest time that a request may take.
    std::chrono::milliseconds requestTimeout{10000};

    std::uint64_t maxBodyBytes = 8 * 1024 * 1024;

    std::vector<Upstream> upstreams;

    bool operator==(const Service &) const = default;
};
}
