#pragma once

namespace radishladder::telemetry {

//! Metric whose value can increase and decrease.
class IGauge
{
public:
    virtual ~IGauge() = default;
    virtual void set(double value) = 0;
};
}
