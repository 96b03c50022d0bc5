#pragma once

#include "global/name.h"

namespace radishladder::routing {

//! A service with its share of a route's new flows.
struct WeightedService
{
    ServiceName service;
    int weight = 1;

    bool operator==(const WeightedService &) const = default;
};
}
