#pragma once

#include "placement/types/upstreamindex.h"

namespace radishladder::placement {

//! What the retained tables of a service say about one slot.
struct SlotView
{
    //! Upstream of the flows of which nobody holds a record.
    UpstreamIndex oldest = kNoUpstream;

    //! Upstream of new flows.
    UpstreamIndex current = kNoUpstream;

    //! The slot's flows may be on different upstreams: only the flow's home places and finds them.
    bool contested = false;

    //! Every VM knows that the slot is contested, so that a new flow may be placed off the table.
    bool settled = false;
};
}
