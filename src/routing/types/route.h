#pragma once

#include "net/types/endpoint.h"
#include "routing/types/requestkind.h"
#include "routing/types/weightedservice.h"

#include <chrono>
#include <string>
#include <vector>

namespace radishladder::routing {

//! Where new flows to one address and port go.
struct Route
{
    std::string name;
    net::Endpoint address;
    RequestKind kind = RequestKind::Idempotent;

    //! Importance under overload; 0 is refused last.
    int priority = 0;

    //! Longest time a request may take.
    std::chrono::milliseconds timeout{10000};

    //! Never empty; new flows are split by weight.
    std::vector<WeightedService> services;

    bool operator==(const Route &) const = default;
};
}
