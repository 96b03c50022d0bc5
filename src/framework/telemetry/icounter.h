#pragma once

#include <cstdint>

namespace radishladder::telemetry {

//! Metric whose value only increases.
class ICounter
{
public:
    virtual ~ICounter() = default;
    virtual void add(std::uint64_t amount = 1) = 0;
    virtual std::uint64_t value() const = 0;
};
}
