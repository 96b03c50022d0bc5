#include "operations/adminserver.h"

#include "net/ieventloop.h"
#include "net/ihttpresponder.h"
#include "net/pistachehttpserver.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "operations/admincalls.h"
#include "telemetry/imetrics.h"

namespace radishladder::operations {
AdminServer::AdminServer(const net::Endpoint &local, telemetry::IMetrics &metrics,
                         std::function<bool()> isReady)
    : metrics(metrics), isReady(std::move(isReady)),
      server(std::make_unique<net::PistacheHttpServer>(
          net::HttpServerOptions{.local = local, .threads = 1}))
{ }

AdminServer::~AdminServer() = default;

std::string AdminServer::name() const
{
    return "admin";
}

bool AdminServer::start()
{
    return this->server->start([this](const net::HttpRequest &request, const auto &responder) {
        this->handle(request, responder);
    });
}

void AdminServer::stop()
{
    this->server->stop();
}

bool AdminServer::isHealthy() const
{
    return true;
}

Reason AdminServer::lastReason() const
{
    return this->server->lastReason();
}

void AdminServer::serveCalls(AdminCalls &served, net::IEventLoop &onLoop)
{
    this->calls = &served;
    this->loop = &onLoop;
}

void AdminServer::servePath(const std::string &path, PathHandler handler)
{
    this->paths[path] = std::move(handler);
}

void AdminServer::handle(const net::HttpRequest &request,
                         const std::shared_ptr<net::IHttpResponder> &responder) const
{
    if (request.path == "/health") {
        responder->answer({.body = "alive\n"});
    } else if (request.path == "/ready") {
        const bool ready = this->isReady();
        responder->answer({.status = ready ? 200 : 503, .body = ready ? "ready\n" : "not ready\n"});
    } else if (request.path == "/metrics") {
        responder->answer({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                           .body = this->metrics.exposition()});
    } else if (const auto served = this->paths.find(request.path); served != this->paths.end()) {
        this->loop->post([handler = &served->second, request, responder] {
            responder->answer((*handler)(request));
        });
    } else if (this->calls != nullptr) {
        this->loop->post([calls = this->calls, request, responder] {
            responder->answer(calls->answer(request));
        });
    } else {
        responder->answer({.status = 404, .body = "unknown path\n"});
    }
}
}
