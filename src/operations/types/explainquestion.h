#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <optional>
#include <string>

namespace radishladder::operations {

//! Asks where a flow or a request would go.
struct ExplainQuestion
{
    ServiceName service;

    //! Address and port of the caller of a flow.
    std::optional<net::Endpoint> caller;

    //! Idempotency key of a request.
    std::string key;
};
}
