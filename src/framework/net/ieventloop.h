#pragma once

#include <chrono>
#include <functional>

namespace radishladder::net {

//! Single-threaded event loop that runs timers, socket handlers and signal handlers one after
//! another. Its functions must not be called from another thread.
class IEventLoop
{
public:
    virtual ~IEventLoop() = default;

    //! Runs \a task every \a period until the loop is destroyed.
    virtual void every(std::chrono::milliseconds period, std::function<void()> task) = 0;

    //! Runs \a task once after \a delay.
    virtual void after(std::chrono::milliseconds delay, std::function<void()> task) = 0;

    //! Calls \a task whenever \a descriptor is readable; the loop does not take ownership of the
    //! descriptor.
    virtual void watchReadable(int descriptor, std::function<void()> task) = 0;

    //! Removes the handler of \a descriptor; must be called before the descriptor is closed.
    virtual void unwatch(int descriptor) = 0;

    //! Calls \a task when the process receives \a signal.
    virtual void watchSignal(int signal, std::function<void()> task) = 0;

    //! Runs the loop until stop() is called.
    virtual void run() = 0;

    //! Makes run() return after the current handler.
    virtual void stop() = 0;
};
}
