#pragma once

namespace radishladder::routing {

//! Limits of each upstream of a service.
struct ServiceLimits
{
    //! Maximum number of concurrent flows of an upstream.
    int maxConnections = 1000;

    //! New flows per second that a cold upstream accepts; 0 if the service doesn't specify it.
    double warmupFlowsPerSecond = 0;

    bool operator==(const ServiceLimits &) const = default;
};
}
