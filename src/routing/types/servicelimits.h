#pragma once

namespace radishladder::routing {

//! What each upstream of a service bears.
struct ServiceLimits
{
    //! Flows an upstream holds at once.
    int maxConnections = 1000;

    //! New flows a second that a cold upstream bears; 0 if the service does not say.
    double warmupFlowsPerSecond = 0;

    bool operator==(const ServiceLimits &) const = default;
};
}
