#pragma once

#include "net/ihttpserver.h"

#include <memory>

namespace radishladder::net {
class LibeventLoop;

//! HTTP/1.1 server based on libevent.
class LibeventHttpServer : public IHttpServer
{
public:
    explicit LibeventHttpServer(LibeventLoop &loop);
    ~LibeventHttpServer() override;

    bool start(const Endpoint &local, Handler handler) override;
    void stop() override;
    Reason lastReason() const override;

private:
    struct State;
    std::unique_ptr<State> state;
};
}
