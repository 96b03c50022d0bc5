#pragma once

#include "global/name.h"
#include "placement/spillpolicy.h"
#include "placement/types/ownpressure.h"
#include "placement/types/spilltarget.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace radishladder {
class IRandom;
}

namespace radishladder::placement {
struct SpillDecision;

//! Decides for each new flow of a service whether it is sent to another data centre; does no I/O
//! and reads no clock.
//!
//! Load pattern: clients of one data centre request more than its upstreams can handle, while
//! another data centre may be cut off, which shows only in the silence of the flows sent there.
class SpillControl
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit SpillControl(IRandom &random);

    //! Returns true if the shares of \a service were last adapted so long ago that they follow new
    //! pressures.
    bool needsUpdate(const ServiceName &service, TimePoint now) const;

    //! Adapts the shares of \a service; \a targets are the other data centres.
    void update(const ServiceName &service, const OwnPressure &own,
                std::span<const SpillTarget> targets, TimePoint now);

    //! Returns where a new flow of \a service is sent; std::nullopt for the own data centre.
    std::optional<SpillDecision> decide(const ServiceName &service, TimePoint now);

    //! Returns true if the own data centre has room for new flows of \a service by its pressure.
    bool hasRoom(const ServiceName &service, TimePoint now) const;

private:
    struct State
    {
        SpillPolicy policy;
        std::optional<TimePoint> updatedAt;
        OwnPressure own;
        std::vector<SpillTarget> targets;

        //! When data centres were last found silent.
        std::map<DataCentreName, TimePoint> silentAt;
    };

    static bool isSilent(State &state, const SpillTarget &target, TimePoint now);

    IRandom &random;
    std::unordered_map<ServiceName, State> states;
};
}
