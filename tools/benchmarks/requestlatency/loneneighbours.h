#pragma once

#include "membership/imembership.h"
#include "membership/ipeertransport.h"
#include "membership/types/member.h"
#include "upstreams/islotholders.h"
#include "upstreams/iupstreams.h"

namespace radishladder::benchmarks {

//! What a VM alone sees of the others, with upstreams that take everything.
class LoneNeighbours : public membership::IMembership,
                       public membership::IPeerTransport,
                       public upstreams::IUpstreams,
                       public upstreams::ISlotHolders
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    const VmName &self() const override { return this->name; }
    std::vector<membership::Member> members() const override { return {{.name = this->name}}; }
    const membership::Member *find(const VmName &) const override { return nullptr; }
    std::vector<VmName> ranked(std::uint64_t, std::size_t) const override { return {this->name}; }
    bool isConfident(TimePoint) const override { return true; }
    bool isRevisionKnownByAll(std::int64_t, TimePoint) const override { return true; }
    void reportOwn(std::uint64_t, std::int64_t) override { }
    void subscribe(membership::IMembership::Subscriber) override { }

    void send(const VmName &, membership::MessageKind, std::span<const std::uint8_t>) override { }
    void handle(membership::MessageKind, Handler) override { }
    std::size_t maxPayloadBytes() const override { return 0; }

    upstreams::UpstreamState state(const UpstreamName &) const override
    {
        return upstreams::UpstreamState::Ready;
    }
    bool admitRequest(const UpstreamName &, TimePoint) override { return true; }
    void requestEnded(const UpstreamName &, upstreams::Observation, std::chrono::milliseconds,
                      TimePoint) override
    { }
    bool admitFlow(const UpstreamName &, TimePoint) override { return true; }
    void flowEnded(const UpstreamName &, TimePoint) override { }
    void subscribe(upstreams::IUpstreams::Subscriber) override { }
    std::vector<VmName> holders(const UpstreamName &) const override { return {this->name}; }

private:
    VmName name{"vm-1"};
};
}
