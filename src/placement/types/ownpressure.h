#pragma once

#include <chrono>
#include <optional>

namespace radishladder::placement {

//! Pressure on a service in the own data centre.
struct OwnPressure
{
    //! std::nullopt while it is unknown.
    std::optional<double> value;

    //! Time since the last response that the value includes.
    std::chrono::milliseconds age{0};
};
}
