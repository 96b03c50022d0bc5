#pragma once

#include "global/name.h"

#include <chrono>
#include <optional>

namespace radishladder::placement {

//! Decision to send a new flow to another data centre, and the figures that it follows from.
struct SpillDecision
{
    DataCentreName dataCentre;

    //! Share of the service's new flows that this VM sends there at present.
    double share = 0;

    //! Pressure on the service in the own data centre, and the age of its newest response.
    double ownPressure = 0;
    std::chrono::milliseconds ownAge{0};

    //! The same for the other data centre; std::nullopt if no flow there has responded recently.
    std::optional<double> pressure;
    std::chrono::milliseconds age{0};
};
}
