#pragma once

#include <string>

namespace radishladder::net {

//! Response that an HTTP server sends.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};
}
