#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"
#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <cstdint>

namespace radishladder::upstreams {

//! What an upstream says of itself.
struct Upstream
{
    UpstreamId id;
    ServiceName service;
    DataCentreName dataCentre;

    //! Receives the packets of flows.
    net::Endpoint address;

    //! Requests it runs at once.
    int slots = 1;

    //! It keeps its flows but takes no new ones.
    bool draining = false;

    //! How much longer it bears only a little after its start; 0 when warm.
    std::chrono::milliseconds warmupLeft{0};

    //! Distinguishes starts under one identifier; opaque.
    std::int64_t incarnation = 0;

    //! Store revision at which the entry was created; orders upstreams whose tokens collide.
    std::uint64_t createdRevision = 0;

    bool operator==(const Upstream &) const = default;
};
}
