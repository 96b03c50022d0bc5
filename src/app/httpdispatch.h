#pragma once

#include "net/ihttpserver.h"

#include <functional>
#include <string>
#include <vector>

namespace radishladder::app {

//! Dispatches the HTTP requests that arrive at one address to the services of the VM that share it,
//! such as the operations pages and the readiness probe; the first service whose filter accepts the
//! path handles the request.
class HttpDispatch
{
public:
    using Handler = net::IHttpServer::Handler;
    using Filter = std::function<bool(const std::string &path)>;

    void add(Filter accepts, Handler handler);

    //! Passes \a request to its service; responds with 404 if no service accepts the path.
    void handle(const net::HttpRequest &request, const net::IHttpServer::Responder &respond) const;

private:
    struct Service
    {
        Filter accepts;
        Handler handler;
    };

    std::vector<Service> services;
};
}
