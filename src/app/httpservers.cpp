#include "app/httpservers.h"

#include "app/httpcomponent.h"
#include "supervision/supervisor.h"

namespace radishladder::app {
HttpServers::HttpServers(net::LibeventLoop &loop) : loop(loop) { }

HttpServers::~HttpServers() = default;

void HttpServers::add(const std::string &name, const net::Endpoint &local,
                      HttpDispatch::Filter accepts, HttpDispatch::Handler handler)
{
    Server &server = this->servers[local];
    server.name += server.name.empty() ? name : "+" + name;
    server.dispatch.add(std::move(accepts), std::move(handler));
}

void HttpServers::registerWith(supervision::Supervisor &supervisor)
{
    for (auto &[local, server] : this->servers) {
        server.component = std::make_unique<HttpComponent>(
            server.name, this->loop, local,
            [&dispatch = server.dispatch](const net::HttpRequest &request,
                                          const net::IHttpServer::Responder &respond) {
                dispatch.handle(request, respond);
            });
        supervisor.add(*server.component);
    }
}
}
