#include "app/duetimer.h"

#include "global/iclock.h"
#include "net/ieventloop.h"

#include <algorithm>

namespace radishladder::app {
namespace {
//! Shortest delay of a timer, so that several datagrams are not sent one by one.
constexpr std::chrono::milliseconds kMinDelay{1};
}

DueTimer::DueTimer(net::IEventLoop &loop, const IClock &clock, std::function<void()> handler)
    : loop(loop), clock(clock), handler(std::move(handler))
{ }

void DueTimer::wakeAt(std::optional<TimePoint> time)
{
    if (!time || (this->due && *this->due <= *time)) {
        return;
    }
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(*time - this->clock.now());
    this->due = time;
    this->loop.after(std::max(delay, kMinDelay), [this, time]() {
        // A timer that was replaced by an earlier one has nothing to do.
        if (this->due == time) {
            this->due.reset();
            this->handler();
        }
    });
}
}
