#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace radishladder::review {

//! Single-threaded loop over poll() that runs timers and the handlers of readable descriptors.
class EventLoop
{
public:
    using Clock = std::chrono::steady_clock;
    using Duration = std::chrono::milliseconds;
    using Task = std::function<void()>;

    //! Runs \a task once after \a delay.
    void after(Duration delay, Task task);

    //! Calls \a task whenever \a descriptor is readable.
    void watch(int descriptor, Task task);

    void unwatch(int descriptor);

    //! Runs until stop() is called.
    void run();
    void stop() { this->isStopped = true; }

    static Clock::time_point now() { return Clock::now(); }

    //! Time since the loop was created, for records.
    Duration elapsed() const;

private:
    void runDueTimers();
    int pollTimeout() const;

    Clock::time_point startedAt = Clock::now();
    bool isStopped = false;
    std::multimap<Clock::time_point, Task> timers;
    std::map<int, Task> readers;
};
}
