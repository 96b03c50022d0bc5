#pragma once

#include "upstreams/types/presence.h"
#include "upstreams/types/upstream.h"

#include <chrono>

namespace radishladder::upstreams {

//! An upstream as this VM knows it.
struct UpstreamRecord
{
    Upstream upstream;
    Presence presence = Presence::Present;

    //! When it became Doubtful or Gone.
    std::chrono::steady_clock::time_point presenceSince;

    //! When its entry was last heard.
    std::chrono::steady_clock::time_point heardAt;

    //! It is cold before this time.
    std::chrono::steady_clock::time_point warmAt;

    //! Its token belongs to an upstream that was created earlier, so it gets no new flows.
    bool tokenTaken = false;

    bool isCold(std::chrono::steady_clock::time_point now) const { return now < this->warmAt; }
    bool takesNewFlows() const
    {
        return this->presence != Presence::Gone && !this->upstream.draining && !this->tokenTaken;
    }
};
}
