#pragma once

#include "global/reason.h"

#include <string>

namespace radishladder::net {

//! Outcome of a request on the client side: a response, or the reason of the failure.
struct HttpResult
{
    //! HTTP status; 0 if no response was received, in which case the server may or may not have
    //! processed the request.
    int status = 0;

    std::string body;

    Reason reason;

    //! Value of the header that the request named; empty if the response does not have it.
    std::string header;
};
}
