#include "global/systemclock.h"

#include <ctime>

namespace radishladder {
std::chrono::steady_clock::time_point SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

std::chrono::nanoseconds SystemClock::timeSinceBoot() const
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::chrono::system_clock::time_point SystemClock::wallTime() const
{
    return std::chrono::system_clock::now();
}
}
