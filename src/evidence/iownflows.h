#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>

namespace radishladder::evidence {

//! What the flows of this VM show of its upstreams and of this VM itself.
class IOwnFlows
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~IOwnFlows() = default;

    //! Returns the time of the last response of \a upstream; TimePoint() if there was none.
    virtual TimePoint lastResponseOf(upstreams::UpstreamId upstream) const = 0;

    //! Returns true if several requests recently got a response before a retransmission, which
    //! shows that neither this VM nor its links delay packets.
    virtual bool hasPromptResponses(TimePoint now) const = 0;

    //! Returns the time of the last response to a request that was not retransmitted.
    virtual TimePoint lastPromptResponse() const = 0;
};
}
