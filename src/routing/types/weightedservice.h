#pragma once

#include "global/name.h"

namespace radishladder::routing {

//! A service and its weight among the services of a route.
struct WeightedService
{
    ServiceName service;
    int weight = 1;

    bool operator==(const WeightedService &) const = default;
};
}
