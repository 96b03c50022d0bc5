#pragma once

#include "net/types/endpoint.h"

#include <string>

namespace radishladder::operations {

//! Response of one VM to a query.
struct VmResponse
{
    net::Endpoint vm;

    //! HTTP status; 0 if the VM sent no response before the timeout.
    int status = 0;

    std::string body;
};
}
