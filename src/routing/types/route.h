#pragma once

#include "net/types/endpoint.h"
#include "routing/types/requestkind.h"
#include "routing/types/weightedservice.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishladder::routing {

//! Assigns new flows to one address and port to services.
struct Route
{
    std::string name;
    net::Endpoint address;
    RequestKind kind = RequestKind::Idempotent;

    //! Priority under overload; requests with priority 0 are refused last.
    int priority = 0;

    //! Maximum duration of a request.
    std::chrono::milliseconds timeout{10000};

    //! Response time that clients aim for; 0 if the configuration specifies none.
    std::chrono::milliseconds targetLatency{0};

    //! New flows are distributed over these services by weight; never empty.
    std::vector<WeightedService> services;

    bool operator==(const Route &) const = default;
};
}
