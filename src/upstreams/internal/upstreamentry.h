#pragma once

#include "settings/types/upstream.h"
#include "upstreams/internal/upstreamtracker.h"
#include "upstreams/upstreams.h"

#include <map>
#include <vector>

namespace radishladder::upstreams {

//! Everything this VM keeps about one upstream.
struct Upstreams::Entry
{
    explicit Entry(const settings::Upstream &upstream) : upstream(upstream), tracker(upstream.slots)
    { }

    settings::Upstream upstream;
    ServiceName service;
    bool dataCentreOut = false;
    UpstreamTracker tracker;
    std::vector<VmName> probers;
    bool isProber = false;

    //! Own observations changed the warmth since it was last published.
    bool hasNews = false;
    std::optional<Digest> published;
    std::map<VmName, Condition> remoteConditions;

    int running = 0;
    int flows = 0;
    TimePoint nextFlowAt{};
    UpstreamState lastState = UpstreamState::Starting;

    bool isOut() const { return this->upstream.drain || this->dataCentreOut; }

    //! Without a port for requests and load queries nothing can prove it or show it cold.
    bool isProvable() const { return this->upstream.http.port != 0; }

    UpstreamState state(TimePoint now) const
    {
        if (this->isOut()) {
            return UpstreamState::Leaving;
        }
        return this->isProvable() ? this->tracker.state(now) : UpstreamState::Ready;
    }

    ResultCode reason() const
    {
        if (this->dataCentreOut) {
            return ResultCode::UpstreamDataCentreOut;
        }
        return this->upstream.drain ? ResultCode::UpstreamLeaving : this->tracker.reason();
    }

    //! Shares of flows and of requests rank the VMs differently.
    std::string flowSubject() const { return "flows/" + this->upstream.name.str(); }
    const std::string &slotSubject() const { return this->upstream.name.str(); }
};
}
