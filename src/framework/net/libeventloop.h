#pragma once

#include "net/ieventloop.h"

#include <memory>

struct event_base;

namespace radishladder::net {

//! Event loop based on libevent.
class LibeventLoop : public IEventLoop
{
public:
    LibeventLoop();
    ~LibeventLoop() override;

    void every(std::chrono::milliseconds period, std::function<void()> task) override;
    void after(std::chrono::milliseconds delay, std::function<void()> task) override;
    void watchReadable(int descriptor, std::function<void()> task) override;
    void unwatch(int descriptor) override;
    void watchSignal(int signal, std::function<void()> task) override;
    void run() override;
    void stop() override;

    //! Returns the libevent handle, on which the HTTP client and server register their events.
    event_base *base() const;

private:
    struct State;
    std::unique_ptr<State> state;
};
}
