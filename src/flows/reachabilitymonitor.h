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

//! Tells whether this VM can serve anybody, by what its flows show; does no I/O and reads no clock.
//!
//! Load pattern: a data centre is cut off from the others while its own upstreams are taken out or
//! gone. Its VMs are well, but whatever their callers ask, VMs elsewhere would serve it.
class ReachJudge
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    ReachJudge(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
               const FlowTable &table, DataCentreName dataCentre);

    //! True if the own data centre has an upstream for new flows.
    bool servesLocally() const;

    //! True if it has none, and of the others none has answered for a while though several flows
    //! wait.
    bool isOutOfReach(TimePoint now) const;

private:
    bool mayServe(const upstreams::UpstreamRecord &upstream) const;
    bool isSilentFar(TimePoint now) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const FlowTable &table;
    DataCentreName dataCentre;
};
}
