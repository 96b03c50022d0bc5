#include "flows/internal/flowplacer.h"

#include "placement/iplacement.h"
#include "upstreams/iupstreams.h"

namespace radishladder::flows {
using upstreams::UpstreamState;

FlowPlacer::FlowPlacer(const placement::IPlacement &placement, upstreams::IUpstreams &upstreams,
                       DataCentreName dataCentre)
    : placement(placement), upstreams(upstreams), dataCentre(std::move(dataCentre))
{ }

std::optional<placement::UpstreamIndex> FlowPlacer::place(const FlowPacket &packet)
{
    if (this->admit(packet.view.current, packet.now)) {
        return packet.view.current;
    }
    if (!packet.view.settled) {
        // A VM that does not know yet that the slot is contested would send the flow's next packets
        // to the table's upstream.
        this->reason = ResultCode::FlowMarkUnsettled;
        return std::nullopt;
    }
    return this->placeElsewhere(packet, false);
}

std::optional<placement::UpstreamIndex> FlowPlacer::placeLocal(const FlowPacket &packet)
{
    if (this->isLocal(packet.view.current) && this->admit(packet.view.current, packet.now)) {
        return packet.view.current;
    }
    this->reason = ResultCode::FlowNoUpstream;
    return this->placeElsewhere(packet, true);
}

std::optional<placement::UpstreamIndex> FlowPlacer::placeElsewhere(const FlowPacket &packet,
                                                                   bool localOnly)
{
    ResultCode worst = this->reason;
    this->placement.alternatives(packet.service, packet.hash, this->candidates);
    for (const placement::UpstreamIndex upstream : this->candidates) {
        if (upstream == packet.view.current || (localOnly && !this->isLocal(upstream))) {
            continue;
        }
        if (this->admit(upstream, packet.now)) {
            return upstream;
        }
        if (this->reason == ResultCode::FlowUpstreamPaced) {
            worst = this->reason;
        }
    }
    this->reason = worst;
    return std::nullopt;
}

bool FlowPlacer::isLocal(placement::UpstreamIndex upstream) const
{
    return upstream != placement::kNoUpstream
        && this->placement.upstream(upstream).upstream.dataCentre == this->dataCentre;
}

bool FlowPlacer::admit(placement::UpstreamIndex upstream, std::chrono::steady_clock::time_point now)
{
    this->reason = ResultCode::FlowNoUpstream;
    if (upstream == placement::kNoUpstream) {
        return false;
    }
    const placement::UpstreamEntry &entry = this->placement.upstream(upstream);
    if (!entry.configured || entry.dataCentreOut) {
        return false;
    }
    const UpstreamState state = this->upstreams.state(entry.upstream.name);
    if (state == UpstreamState::Shedding || state == UpstreamState::Leaving
        || state == UpstreamState::Gone) {
        return false;
    }
    if (!this->upstreams.admitFlow(entry.upstream.name, now)) {
        this->reason = ResultCode::FlowUpstreamPaced;
        return false;
    }
    this->reason = ResultCode::Ok;
    return true;
}

bool FlowPlacer::isAnswering(placement::UpstreamIndex upstream) const
{
    const settings::Upstream &described = this->placement.upstream(upstream).upstream;
    return this->upstreams.state(described.name) != UpstreamState::Gone;
}

void FlowPlacer::release(placement::UpstreamIndex upstream,
                         std::chrono::steady_clock::time_point now)
{
    this->upstreams.flowEnded(this->placement.upstream(upstream).upstream.name, now);
}
}
