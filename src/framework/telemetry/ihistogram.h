#pragma once

#include <chrono>

namespace radishladder::telemetry {

//! Metric that counts durations in buckets.
class IHistogram
{
public:
    virtual ~IHistogram() = default;
    virtual void observe(std::chrono::milliseconds value) = 0;
};
}
