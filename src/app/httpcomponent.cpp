#include "app/httpcomponent.h"

namespace radishladder::app {
HttpComponent::HttpComponent(std::string name, net::LibeventLoop &loop, const net::Endpoint &local,
                             net::IHttpServer::Handler handler)
    : ownName(std::move(name)), server(loop), local(local), handler(std::move(handler))
{ }

bool HttpComponent::start()
{
    this->running = this->server.start(this->local, this->handler);
    return this->running;
}

void HttpComponent::stop()
{
    this->server.stop();
    this->running = false;
}
}
