#pragma once

#include <string>

namespace radishladder::net {

//! What a server answers.
struct HttpAnswer
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};
}
