#include "app/vmstatusprovider.h"

#include "app/fleet.h"
#include "app/flowparts.h"
#include "flows/types/flowkey.h"
#include "global/hash.h"
#include "global/iclock.h"
#include "membership/types/member.h"
#include "operations/types/explanation.h"
#include "operations/types/vmstatus.h"
#include "settings/types/configuration.h"
#include "settings/types/vmsettings.h"

namespace radishladder::app {
VmStatusProvider::VmStatusProvider(const settings::VmSettings &settings, const Fleet &fleet,
                                   const FlowParts &flows, const IClock &clock)
    : settings(settings), fleet(fleet), flows(flows), clock(clock)
{ }

operations::VmStatus VmStatusProvider::status() const
{
    const auto configuration = this->fleet.configuration.current();
    operations::VmStatus status;
    status.vm = this->settings.name;
    status.dataCentre = this->settings.dataCentre;
    status.generation = configuration->generation;
    status.changeId = configuration->changeId;
    status.documentRevision = this->fleet.feed.revision();
    status.confident = this->fleet.membership.isConfident(this->clock.now());
    status.freeze = configuration->freeze;
    for (const membership::Member &member : this->fleet.membership.members()) {
        status.members.push_back({member.name, member.dataCentre,
                                  std::string(membership::memberStateName(member.state)),
                                  member.generation});
    }
    for (const settings::Service &service : configuration->services) {
        for (const settings::Upstream &upstream : service.upstreams) {
            const auto state = this->flows.upstreams.state(upstream.name);
            status.upstreams.push_back(
                {upstream.name, service.name, std::string(upstreams::upstreamStateName(state))});
        }
    }
    return status;
}

std::optional<operations::Explanation> VmStatusProvider::explain(
    const operations::ExplainQuestion &question)
{
    const placement::EpochPlacement &placement = this->flows.placement;
    const auto service = placement.find(question.service);
    if (!service) {
        this->reason = {ResultCode::UnknownService,
                        "service " + question.service.str() + " is not configured"};
        return std::nullopt;
    }
    operations::Explanation explanation;
    if (!question.caller) {
        const auto ranked =
            this->fleet.membership.ranked(hash64(question.key, hash64(question.service.str())), 1);
        explanation.home = ranked.empty() ? VmName() : ranked.front();
        explanation.why =
            "the key's home chooses an upstream with a free slot when the request arrives";
        return explanation;
    }
    const settings::Service &description = placement.description(*service);
    const flows::FlowKey key{*question.caller, description.address,
                             static_cast<std::uint8_t>(description.protocol)};
    const placement::SlotView view = placement.view(*service, key.hash());
    const auto ranked = this->fleet.membership.ranked(placement.homeKey(*service, key.hash()), 1);
    explanation.home = ranked.empty() ? VmName() : ranked.front();
    if (view.current != placement::kNoUpstream) {
        explanation.upstream = placement.upstream(view.current).upstream.name;
    }
    explanation.why = view.contested ? "the slot is contested: the home VM decides by its record, "
                                       "or by the oldest table without one"
                                     : "all retained tables name this upstream";
    return explanation;
}

Reason VmStatusProvider::lastReason() const
{
    return this->reason;
}
}
