#pragma once

#include "net/ihttpconnection.h"
#include "net/types/endpoint.h"

#include <memory>

namespace radishladder::net {
class LibeventLoop;

//! HTTP/1.1 client connection based on libevent; detects an unreachable server by TCP keep-alive
//! probes.
class LibeventHttpConnection : public IHttpConnection
{
public:
    LibeventHttpConnection(LibeventLoop &loop, const Endpoint &server);
    ~LibeventHttpConnection() override;

    void send(const HttpRequest &request, Handler handler) override;

private:
    struct State;
    std::unique_ptr<State> state;
};
}
