#pragma once

#include <chrono>
#include <functional>

namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::standins {

//! Runs tasks after a network delay; the mean is exact although the loop counts milliseconds.
class DelayLine
{
public:
    explicit DelayLine(net::IEventLoop &loop) : loop(loop) { }

    //! Runs \a task after \a delay, at once if that is zero.
    void later(std::chrono::microseconds delay, std::function<void()> task);

private:
    net::IEventLoop &loop;
    std::chrono::microseconds carried{0};
};
}
