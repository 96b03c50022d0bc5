#pragma once

#include <optional>

namespace radishladder::placement {

//! A pressure and its smoothed change.
struct PressureTrend
{
    std::optional<double> pressure;
    double changePerSecond = 0;
};
}
