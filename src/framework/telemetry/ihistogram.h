#pragma once

#include <chrono>

namespace radishladder::telemetry {

//! Distribution of durations.
class IHistogram
{
public:
    virtual ~IHistogram() = default;
    virtual void observe(std::chrono::milliseconds value) = 0;
};
}
