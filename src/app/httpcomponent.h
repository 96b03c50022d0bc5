#pragma once

#include "net/libeventhttpserver.h"
#include "net/types/endpoint.h"
#include "supervision/icomponent.h"

#include <string>

namespace radishladder::app {

//! An HTTP server as a supervised component.
class HttpComponent : public supervision::IComponent
{
public:
    HttpComponent(std::string name, net::LibeventLoop &loop, const net::Endpoint &local,
                  net::IHttpServer::Handler handler);

    std::string name() const override { return this->ownName; }
    bool start() override;
    void stop() override;
    bool isHealthy() const override { return this->running; }
    Reason lastReason() const override { return this->server.lastReason(); }

private:
    std::string ownName;
    net::LibeventHttpServer server;
    net::Endpoint local;
    net::IHttpServer::Handler handler;
    bool running = false;
};
}
