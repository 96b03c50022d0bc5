#include "app/requestfront.h"

#include "global/iclock.h"
#include "net/ieventloop.h"
#include "net/pistachehttpserver.h"
#include "net/types/httprequest.h"
#include "requests/irequesthandler.h"

namespace radishladder::app {
RequestFront::RequestFront(const net::Endpoint &local, requests::IRequestHandler &handler,
                           net::IEventLoop &loop, const IClock &clock)
    : handler(handler), loop(loop), clock(clock),
      server(std::make_unique<net::PistacheHttpServer>(net::HttpServerOptions{.local = local}))
{ }

RequestFront::~RequestFront() = default;

std::string RequestFront::name() const
{
    return "request-front";
}

bool RequestFront::start()
{
    return this->server->start(
        [this](net::HttpRequest request, std::shared_ptr<net::IHttpResponder> responder) {
            this->loop.post(
                [this, request = std::move(request), responder = std::move(responder)]() mutable {
                    this->arrivedAt = this->clock.now();
                    this->handler.handle(std::move(request), std::move(responder));
                });
        });
}

void RequestFront::stop()
{
    this->server->stop();
}

bool RequestFront::isHealthy() const
{
    return true;
}

Reason RequestFront::lastReason() const
{
    return this->server->lastReason();
}
}
