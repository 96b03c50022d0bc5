#pragma once

#include "global/name.h"

#include <chrono>

namespace radishladder::routing {
class RouteTable;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
struct UpstreamRecord;
}

namespace radishladder::flows {
class FlowTable;

//! Determines whether this VM can serve its clients or VMs of other data centres should: from the
//! operators' evacuations, and from its flows whether it can reach any upstream. Does no I/O and
//! reads no clock.
//!
//! Load pattern: a data centre is cut off from the others while its own upstreams are evacuated or
//! gone. Its VMs are healthy but can't serve their clients, whereas VMs of other data centres
//! could.
class ReachabilityMonitor
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ReachabilityMonitor(const routing::RouteTable &routes,
                        const upstreams::UpstreamRegistry &registry, const FlowTable &table,
                        DataCentreName dataCentre);

    //! Returns true if operators have evacuated the own data centre and another one has an upstream
    //! that accepts new flows. Operators' orders count even while automatic actions are frozen.
    bool isEvacuated() const;

    //! Returns true if the own data centre has an upstream that accepts new flows and isn't a
    //! suspect.
    bool servesLocally() const;

    //! Returns true if servesLocally() is false and no upstream that accepts new flows has
    //! responded for a while although several flows await a response.
    bool isCutOff(TimePoint now) const;

private:
    bool canServe(const upstreams::UpstreamRecord &upstream) const;
    bool areUpstreamsSilent(TimePoint now) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const FlowTable &table;
    DataCentreName dataCentre;
};
}
