#pragma once

#include "global/reason.h"

#include <string>

namespace radishladder::net {

//! Outcome of one request of the client: an answer, or the reason why there is none.
struct HttpResult
{
    //! HTTP status; 0 if no answer came, in which case the request may or may not have run.
    int status = 0;

    std::string body;

    Reason reason;
};
}
