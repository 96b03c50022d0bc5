#pragma once

#include "net/types/endpoint.h"

#include <string>

namespace radishladder::operations {

//! What one VM answered.
struct VmAnswer
{
    net::Endpoint vm;

    //! HTTP status; 0 if it gave no answer in time.
    int status = 0;

    std::string body;
};
}
