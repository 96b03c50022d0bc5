#pragma once

#include "upstreams/types/presence.h"
#include "upstreams/types/upstream.h"

#include <chrono>

namespace radishladder::upstreams {

//! An upstream with the state that this VM has derived for it.
struct UpstreamRecord
{
    Upstream upstream;
    Presence presence = Presence::Present;

    //! Time of the last change of presence.
    std::chrono::steady_clock::time_point presenceSince;

    //! Time at which the upstream's entry was last received.
    std::chrono::steady_clock::time_point receivedAt;

    //! Time at which an entry of the upstream's current start was first received.
    std::chrono::steady_clock::time_point startReceivedAt;

    //! Time at which the warm-up ends; until then the upstream is cold.
    std::chrono::steady_clock::time_point warmAt;

    //! True if an upstream that was created earlier has the same token; this upstream then gets no
    //! new flows.
    bool hasTokenConflict = false;

    //! True while the entry of the upstream is invalid: it then gets no new flows, but nothing
    //! shows that it has ended.
    bool hasInvalidEntry = false;

    bool isCold(std::chrono::steady_clock::time_point now) const { return now < this->warmAt; }
    bool acceptsNewFlows() const
    {
        return this->presence != Presence::Gone && !this->upstream.draining
            && !this->hasTokenConflict && !this->hasInvalidEntry;
    }
};
}
