#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

//! Event loop of the stand-ins: timers and readable descriptors, on one thread.
class Loop
{
public:
    Loop() : startedAt(Clock::now()) { }

    void after(Milliseconds delay, std::function<void()> task);

    //! Calls \a task whenever \a descriptor can be read, until unwatch().
    void watch(int descriptor, std::function<void()> task);
    void unwatch(int descriptor);

    //! Runs until stop() or SIGTERM.
    void run();
    void stop() { this->isStopping = true; }

    //! Returns true if SIGTERM ended run().
    static bool isTerminated();

    //! Returns the seconds since the loop was created.
    double seconds() const;

private:
    void runTimers();

    Time startedAt;
    bool isStopping = false;
    std::multimap<Time, std::function<void()>> timers;
    std::unordered_map<int, std::function<void()>> readers;
};
}
