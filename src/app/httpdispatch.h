#pragma once

#include "net/ihttpserver.h"

#include <functional>
#include <string>
#include <vector>

namespace radishladder::app {

//! Requests at one address, for several services that share it; the first that takes a path
//! answers.
class HttpDispatch
{
public:
    using Handler = net::IHttpServer::Handler;
    using Filter = std::function<bool(const std::string &path)>;

    void add(Filter takes, Handler handler);

    //! Answers 404 if no service takes the path.
    void handle(const net::HttpRequest &request, const net::IHttpServer::Responder &respond) const;

private:
    struct Service
    {
        Filter takes;
        Handler handler;
    };

    std::vector<Service> services;
};
}
