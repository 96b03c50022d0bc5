#pragma once

#include "global/manualclock.h"
#include "net/ieventloop.h"

#include <map>

namespace radishladder::net {

//! Event loop driven by a ManualClock, for tests and simulations in virtual time.
class ManualEventLoop : public IEventLoop
{
public:
    explicit ManualEventLoop(ManualClock &clock) : clock(clock) { }

    void every(std::chrono::milliseconds period, std::function<void()> task) override
    {
        this->after(period, [this, period, task]() {
            task();
            this->every(period, task);
        });
    }

    void after(std::chrono::milliseconds delay, std::function<void()> task) override
    {
        this->timers.emplace(this->clock.now() + delay, std::move(task));
    }

    void watchReadable(int, std::function<void()>) override { }
    void unwatch(int) override { }
    void watchSignal(int, std::function<void()>) override { }
    void run() override { }
    void stop() override { }

    //! Advances the clock by \a duration and runs the timers that expire within it, in order of
    //! their expiry.
    void advance(std::chrono::nanoseconds duration)
    {
        const auto end = this->clock.now()
            + std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration);
        while (!this->timers.empty() && this->timers.begin()->first <= end) {
            auto due = this->timers.extract(this->timers.begin());
            if (due.key() > this->clock.now()) {
                this->clock.advance(due.key() - this->clock.now());
            }
            due.mapped()();
        }
        this->clock.advance(end - this->clock.now());
    }

private:
    ManualClock &clock;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> timers;
};
}
