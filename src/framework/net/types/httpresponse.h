#pragma once

#include <map>
#include <string>

namespace radishladder::net {

//! Response that an HTTP server sends.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;

    //! Further headers by name.
    std::map<std::string, std::string> headers;
};
}
