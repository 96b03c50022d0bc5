#pragma once

#include "flows/internal/flowpacket.h"
#include "global/name.h"
#include "global/resultcode.h"

#include <optional>
#include <vector>

namespace radishladder::placement {
class IPlacement;
}
namespace radishladder::upstreams {
class IUpstreams;
}

namespace radishladder::flows {

//! Chooses the upstream of a new flow among those that may take one now.
class FlowPlacer
{
public:
    FlowPlacer(const placement::IPlacement &placement, upstreams::IUpstreams &upstreams,
               DataCentreName dataCentre);

    //! The table's upstream if it takes the flow, else, in a settled slot, the best other one;
    //! std::nullopt if none does (see lastReason()).
    std::optional<placement::UpstreamIndex> place(const FlowPacket &packet);

    //! The same among the upstreams of this VM's own data centre, settled or not.
    std::optional<placement::UpstreamIndex> placeLocal(const FlowPacket &packet);

    //! Takes a permit for a new flow to \a upstream; false if there is none (see lastReason()).
    bool admit(placement::UpstreamIndex upstream, std::chrono::steady_clock::time_point now);

    //! False if the upstream is gone.
    bool isAnswering(placement::UpstreamIndex upstream) const;

    //! Gives the permit of an ended flow back.
    void release(placement::UpstreamIndex upstream, std::chrono::steady_clock::time_point now);

    ResultCode lastReason() const { return this->reason; }

private:
    bool isLocal(placement::UpstreamIndex upstream) const;
    std::optional<placement::UpstreamIndex> placeElsewhere(const FlowPacket &packet,
                                                           bool localOnly);

    const placement::IPlacement &placement;
    upstreams::IUpstreams &upstreams;
    DataCentreName dataCentre;
    std::vector<placement::UpstreamIndex> candidates;
    ResultCode reason = ResultCode::Ok;
};
}
