#pragma once

#include "upstreams/iupstreams.h"

#include <map>
#include <set>

namespace radishladder::flows {

//! Upstream states set by the test; counts permits.
class FakeUpstreams : public upstreams::IUpstreams
{
public:
    upstreams::UpstreamState state(const UpstreamName &upstream) const override
    {
        const auto found = this->states.find(upstream);
        return found == this->states.end() ? upstreams::UpstreamState::Ready : found->second;
    }
    bool admitRequest(const UpstreamName &, TimePoint) override { return true; }
    void requestEnded(const UpstreamName &, upstreams::Observation, std::chrono::milliseconds,
                      TimePoint) override
    { }
    bool admitFlow(const UpstreamName &upstream, TimePoint) override
    {
        if (this->paced.contains(upstream)) {
            return false;
        }
        ++this->permits[upstream];
        return true;
    }
    void flowEnded(const UpstreamName &upstream, TimePoint) override { --this->permits[upstream]; }
    void subscribe(Subscriber) override { }

    std::map<UpstreamName, upstreams::UpstreamState> states;
    std::set<UpstreamName> paced;
    std::map<UpstreamName, int> permits;
};
}
