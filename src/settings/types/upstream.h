#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

namespace radishladder::settings {

//! One upstream host of a service.
struct Upstream
{
    UpstreamName name;
    DataCentreName dataCentre;

    //! Receives the packets of flows, encapsulated as IPv4 in UDP.
    net::Endpoint tunnel;

    //! Receives requests, health queries and load queries over HTTP; port 0 if there is none.
    net::Endpoint http;

    //! Requests that the upstream runs at the same time.
    int slots = 3;

    //! Flows that the upstream can have open at the same time.
    int connections = 2000;

    //! Share of new flows relative to the other upstreams of the service.
    int weight = 100;

    //! Drained by operators: gets no new flows or requests; those already started may finish.
    bool isDraining = false;

    bool operator==(const Upstream &) const = default;
};
}
