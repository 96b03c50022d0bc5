#pragma once

#include "global/name.h"

#include <chrono>
#include <optional>

namespace radishladder::placement {

//! Another data centre that new flows may be sent to.
struct SpillTarget
{
    DataCentreName dataCentre;

    //! The data centre has upstreams of the service that are neither cold, suspects nor evacuated.
    bool isUsable = false;

    //! Pressure as seen on flows that this VM has sent there; std::nullopt if none has responded
    //! recently.
    std::optional<double> pressure;

    //! Time since the last response that the pressure includes.
    std::chrono::milliseconds age{0};

    //! When the newest silence of an upstream began, if no upstream of the data centre has
    //! responded to this VM since.
    std::optional<std::chrono::steady_clock::time_point> silentSince;
};
}
