#pragma once

#include <chrono>
#include <functional>

namespace radishladder::net {

//! One thread that runs timers and socket handlers in turn; nothing here may be called from another
//! thread.
class IEventLoop
{
public:
    virtual ~IEventLoop() = default;

    //! Runs \a task every \a period until the loop is destroyed.
    virtual void every(std::chrono::milliseconds period, std::function<void()> task) = 0;

    //! Runs \a task once after \a delay.
    virtual void after(std::chrono::milliseconds delay, std::function<void()> task) = 0;

    //! Calls \a task whenever \a descriptor is readable; the descriptor stays the caller's.
    virtual void watchReadable(int descriptor, std::function<void()> task) = 0;

    //! Forgets \a descriptor; call it before the descriptor is closed.
    virtual void unwatch(int descriptor) = 0;

    //! Calls \a task when the process receives \a signal.
    virtual void watchSignal(int signal, std::function<void()> task) = 0;

    //! Runs until stop() is called.
    virtual void run() = 0;

    //! Ends run() after the current handler.
    virtual void stop() = 0;
};
}
