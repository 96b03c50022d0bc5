#pragma once

#include "global/name.h"

#include <string>

namespace radishladder::operations {

//! An upstream as the answering VM sees it.
struct UpstreamStatus
{
    UpstreamName name;
    ServiceName service;
    std::string state;

    bool operator==(const UpstreamStatus &) const = default;
};
}
