#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"
#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <cstdint>

namespace radishladder::upstreams {

//! An upstream as described by its entry in the store.
struct Upstream
{
    UpstreamId id;
    ServiceName service;
    DataCentreName dataCentre;

    //! Address to which the packets of flows are forwarded.
    net::Endpoint address;

    //! Number of requests that the upstream processes concurrently.
    int slots = 1;

    //! True if the upstream keeps its open flows but accepts no new flows.
    bool draining = false;

    //! Rest of the warm-up after the start of the upstream, in which it can handle only a reduced
    //! load; 0 when warm.
    std::chrono::milliseconds warmupLeft{0};

    //! Value that differs between starts of an upstream under the same identifier; of upstreams
    //! whose tokens collide, the one with the lowest value keeps the token.
    std::int64_t incarnation = 0;

    //! Increases with each entry that one start of the upstream writes.
    std::int64_t sequence = 0;

    bool operator==(const Upstream &) const = default;
};
}
