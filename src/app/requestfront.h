#pragma once

#include "supervision/icomponent.h"

#include "net/types/endpoint.h"

#include <chrono>
#include <memory>

namespace radishladder {
class IClock;
}
namespace radishladder::net {
class IEventLoop;
class IHttpServer;
}
namespace radishladder::requests {
class IRequestHandler;
}

namespace radishladder::app {

//! Binds the request decisions to an HTTP server.
class RequestFront : public supervision::IComponent
{
public:
    RequestFront(const net::Endpoint &local, requests::IRequestHandler &handler,
                 net::IEventLoop &loop, const IClock &clock);
    ~RequestFront() override;

    std::string name() const override;
    bool start() override;
    void stop() override;
    bool isHealthy() const override;
    Reason lastReason() const override;

    //! When the last request arrived.
    std::chrono::steady_clock::time_point lastArrival() const { return this->arrivedAt; }

private:
    requests::IRequestHandler &handler;
    net::IEventLoop &loop;
    const IClock &clock;
    std::chrono::steady_clock::time_point arrivedAt{};
    std::unique_ptr<net::IHttpServer> server;
};
}
