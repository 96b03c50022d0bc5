#pragma once

#include "global/iclock.h"

namespace radishladder {

//! The clocks of the operating system.
class SystemClock : public IClock
{
public:
    std::chrono::steady_clock::time_point now() const override;
    std::chrono::nanoseconds sinceBoot() const override;
    std::chrono::system_clock::time_point wallNow() const override;
};
}
