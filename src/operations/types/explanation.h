#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"
#include "operations/types/explainquestion.h"

#include <optional>
#include <string>

namespace radishladder::operations {

//! Where it would go, and why.
struct Explanation
{
    //! Empty if no upstream would be chosen.
    UpstreamName upstream;

    //! VM that answers for the flow or key.
    VmName home;
    std::string why;

    bool operator==(const Explanation &) const = default;
};
}
