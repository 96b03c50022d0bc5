#pragma once

#include "placement/types/upstreamindex.h"
#include "settings/types/upstream.h"

namespace radishladder::placement {

//! What the flow path needs of an upstream.
struct UpstreamEntry
{
    settings::Upstream upstream;
    ServiceIndex service = 0;

    //! Identifies name and address on every VM; another upstream at the same address has another
    //! one.
    std::uint64_t wireId = 0;

    //! False once the configuration no longer lists it.
    bool configured = true;

    //! Its data centre was taken out by operators.
    bool dataCentreOut = false;
};
}
