#pragma once

#include "global/iclock.h"

namespace radishladder {

//! Reads the clocks of the operating system.
class SystemClock : public IClock
{
public:
    std::chrono::steady_clock::time_point now() const override;
    std::chrono::nanoseconds timeSinceBoot() const override;
    std::chrono::system_clock::time_point wallTime() const override;
};
}
