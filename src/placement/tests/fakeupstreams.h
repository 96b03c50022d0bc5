#pragma once

#include "upstreams/iupstreams.h"

#include <map>

namespace radishladder::placement::fakes {

//! Upstreams that are ready unless the test says otherwise.
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
    bool admitFlow(const UpstreamName &, TimePoint) override { return true; }
    void flowEnded(const UpstreamName &, TimePoint) override { }
    void subscribe(Subscriber subscriber) override { this->subscribers.push_back(subscriber); }

    void turn(const UpstreamName &upstream, upstreams::UpstreamState to)
    {
        const auto from = this->state(upstream);
        this->states[upstream] = to;
        for (const Subscriber &subscriber : this->subscribers) {
            subscriber(upstream, from, to);
        }
    }

private:
    std::map<UpstreamName, upstreams::UpstreamState> states;
    std::vector<Subscriber> subscribers;
};
}
