#pragma once

#include "global/name.h"
#include "placement/types/pressuretrend.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>

namespace radishladder::placement {
struct SpillTarget;

//! Controls the shares of a service's new flows that this VM sends to other data centres; does no
//! I/O and reads no clock.
//!
//! Load pattern: clients of one data centre request more than its upstreams can handle, while those
//! of others have free slots. All VMs decide at the same time, and a change of the shares shows in
//! the pressures only some hundred milliseconds later.
class SpillPolicy
{
public:
    //! Adapts the shares to the pressures \a elapsed after the last call. \a targets are the other
    //! data centres; those that are not listed get no flows.
    void update(double ownPressure, std::span<const SpillTarget> targets,
                std::chrono::milliseconds elapsed);

    //! Returns the share of new flows for \a dataCentre, from 0 to 1.
    double shareOf(const DataCentreName &dataCentre) const;

    //! Returns the data centre of a new flow; std::nullopt for the own one. \a uniform is a random
    //! number from 0 to 1, 1 excluded.
    std::optional<DataCentreName> pick(double uniform) const;

private:
    struct Share
    {
        double value = 0;
        PressureTrend trend;
    };

    PressureTrend ownTrend;
    std::map<DataCentreName, Share> shares;
};
}
