#pragma once

#include <chrono>
#include <functional>
#include <optional>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IEventLoop;
}

namespace radishladder::app {

//! Calls a handler at the earliest of the requested times.
class DueTimer
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    DueTimer(net::IEventLoop &loop, const IClock &clock, std::function<void()> handler);

    //! Requests a call at \a time; none if it is std::nullopt.
    void wakeAt(std::optional<TimePoint> time);

private:
    net::IEventLoop &loop;
    const IClock &clock;
    std::function<void()> handler;

    //! When the earliest timer expires; std::nullopt if there is none.
    std::optional<TimePoint> due;
};
}
