#pragma once

#include "upstreams/types/condition.h"
#include "upstreams/types/warmth.h"

namespace radishladder::upstreams {

//! What one VM tells the others of an upstream.
struct Digest
{
    Warmth warmth;
    Condition condition = Condition::Serving;

    bool operator==(const Digest &) const = default;
};
}
