#include "flows/internal/openingdirector.h"

#include "flows/flowtable.h"
#include "flows/internal/decisions.h"
#include "flows/types/directorlimits.h"
#include "flows/types/flowpacket.h"
#include "global/hash.h"
#include "membership/imembership.h"
#include "placement/admission.h"
#include "placement/iplacementpolicy.h"
#include "placement/types/candidate.h"
#include "placement/warmuppacer.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! Load of a long flow between two requests, in requests.
constexpr double kIdleFlowLoad = 0.04;

//! Part of an upstream's connections that new flows may fill; the rest is for flows not seen here.
constexpr double kConnectionShare = 0.9;

//! A reset must not hit a flow that opened through another VM, which only a first packet rules out.
FlowDecision refuseOpening(const FlowPacket &packet, ResultCode reason)
{
    return refused(packet.acknowledged == 0 ? FlowAction::Reset : FlowAction::Drop, reason);
}
}

OpeningDirector::OpeningDirector(const routing::RouteTable &routes,
                                 const upstreams::UpstreamRegistry &registry,
                                 const membership::IMembership &membership, FlowTable &table,
                                 placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer,
                                 VmName self, DataCentreName dataCentre,
                                 const DirectorLimits &limits)
    : routes(routes), registry(registry), membership(membership), table(table), policy(policy),
      pacer(pacer), self(std::move(self)), dataCentre(std::move(dataCentre)), limits(limits)
{ }

OpeningDirector::~OpeningDirector() = default;

FlowDecision OpeningDirector::decide(const FlowPacket &packet, TimePoint now)
{
    if (packet.mayHaveWaited) {
        // Neither a reset nor a second upstream's answer may hit a flow that is open by now.
        return refused(FlowAction::Drop, ResultCode::FlowOvertaken);
    }
    const routing::Route *route = this->routes.find(packet.flow.service);
    if (route == nullptr) {
        return refuseOpening(packet, ResultCode::FlowNoRoute);
    }
    FlowRecord *record = this->table.find(packet.flow);
    if (record != nullptr && packet.acknowledged == 0) {
        // The caller has started a new flow from the port of an old one.
        this->table.erase(packet.flow);
        record = nullptr;
    }
    return record == nullptr ? this->place(packet, *route, nullptr, now)
                             : this->repeatOpening(packet, *route, *record, now);
}

FlowDecision OpeningDirector::repeatOpening(const FlowPacket &packet, const routing::Route &route,
                                            FlowRecord &record, TimePoint now)
{
    if (record.phase != FlowPhase::Opening) {
        return refused(FlowAction::Drop, ResultCode::FlowAlreadyOpen);
    }
    record.lastPacket = now;
    if (now - record.waitingSince >= kLeastSilence) {
        this->table.noteSilence(record, record.waitingSince);
    }
    const upstreams::UpstreamRecord *upstream = this->registry.find(record.upstream);
    if (upstream != nullptr && this->mayStay(*upstream, record, now)) {
        this->pacer.noteOpened(record.upstream, now);
        return forwardTo(*upstream);
    }
    return this->place(packet, route, &record, now);
}

bool OpeningDirector::mayStay(const upstreams::UpstreamRecord &upstream, const FlowRecord &record,
                              TimePoint now) const
{
    if (!upstream.takesNewFlows() || this->routes.isEvacuated(upstream.upstream.dataCentre)) {
        return false;
    }
    // Copies that waited together in a queue, as after a freeze, say nothing of the upstream; given
    // to two of them, both would answer.
    if (now - record.waitingSince < kLeastSilence) {
        return true;
    }
    // Others were answered meanwhile, so this packet or its answer was lost on the way.
    const UpstreamLoad *load = this->table.load(record.upstream);
    return load != nullptr && load->lastProgress > record.waitingSince;
}

FlowDecision OpeningDirector::place(const FlowPacket &packet, const routing::Route &route,
                                    FlowRecord *record, TimePoint now)
{
    const ServiceName &service = this->serviceFor(packet, route);
    const auto chosen = this->choose(service, record, now);
    if (!chosen) {
        return record == nullptr ? refuseOpening(packet, ResultCode::FlowNoUpstream)
                                 : refused(FlowAction::Drop, ResultCode::FlowNoUpstream);
    }
    const placement::Candidate &candidate = this->candidates[*chosen];
    // A suspect gets a flow to see whether it answers, however many wait there.
    if (!candidate.isSuspect && !placement::admitsOpening(candidate.load, packet.acknowledged)) {
        return refused(FlowAction::Drop, ResultCode::FlowUpstreamsFull);
    }
    const upstreams::UpstreamRecord &upstream = *this->choices[*chosen];
    const upstreams::UpstreamId id = upstream.upstream.id;
    if (upstream.isCold(now)) {
        this->pacer.noteOpened(id, now);
    }
    if (candidate.isSuspect) {
        this->table.noteTrial(id, now);
    }
    FlowDecision decision = forwardTo(upstream);
    decision.isPlacement = true;
    decision.isReplacement = record != nullptr;
    if (record == nullptr) {
        record = this->table.insert(packet.flow, id, FlowPhase::Opening, now);
    } else {
        this->table.move(*record, id);
    }
    if (record != nullptr) {
        record->waitingSince = now;
        record->highestSequence = packet.sequence;
        this->table.setBusy(*record, true);
    }
    return decision;
}

const ServiceName &OpeningDirector::serviceFor(const FlowPacket &packet,
                                               const routing::Route &route) const
{
    std::uint64_t total = 0;
    for (const routing::WeightedService &share : route.services) {
        total += static_cast<std::uint64_t>(share.weight);
    }
    std::uint64_t point = total == 0 ? 0 : flowHash(packet.flow) % total;
    for (const routing::WeightedService &share : route.services) {
        const auto weight = static_cast<std::uint64_t>(share.weight);
        if (point < weight) {
            return share.service;
        }
        point -= weight;
    }
    return route.services.front().service;
}

std::optional<std::size_t> OpeningDirector::choose(const ServiceName &service,
                                                   const FlowRecord *previous, TimePoint now)
{
    // Load pattern: services with upstreams in many data centres; the own one nearly always
    // suffices.
    this->collectCandidates(service, previous, true, now);
    const auto local = this->policy.choose(this->candidates);
    if (local && this->policy.suffices(this->candidates[*local])) {
        return local;
    }
    this->collectCandidates(service, previous, false, now);
    return this->policy.choose(this->candidates);
}

void OpeningDirector::collectCandidates(const ServiceName &service, const FlowRecord *previous,
                                        bool onlyLocal, TimePoint now)
{
    this->choices.clear();
    this->candidates.clear();
    const int maxConnections = this->routes.limits(service).maxConnections;
    for (const upstreams::UpstreamRecord *upstream : this->registry.ofService(service)) {
        if (onlyLocal && upstream->upstream.dataCentre != this->dataCentre) {
            continue;
        }
        const bool isPrevious = previous != nullptr && previous->upstream == upstream->upstream.id;
        if (isPrevious || !upstream->takesNewFlows()
            || this->routes.isEvacuated(upstream->upstream.dataCentre)) {
            continue;
        }
        const UpstreamLoad *load = this->table.load(upstream->upstream.id);
        if (load != nullptr && load->openFlows >= maxConnections * kConnectionShare) {
            continue;
        }
        this->choices.push_back(upstream);
        this->candidates.push_back(this->judge(*upstream, now));
    }
}

placement::Candidate OpeningDirector::judge(const upstreams::UpstreamRecord &upstream,
                                            TimePoint now) const
{
    const upstreams::UpstreamId id = upstream.upstream.id;
    placement::Candidate candidate;
    candidate.isLocal = upstream.upstream.dataCentre == this->dataCentre;
    candidate.isCold = upstream.isCold(now);
    if (candidate.isCold && this->ownsWarmup(upstream)) {
        candidate.mayWarm = this->pacer.mayOpen(id, this->warmupLimit(upstream), now);
    }
    if (this->limits.judgeSilence) {
        candidate.isSuspect = this->table.isSuspect(id);
        candidate.mayTry = candidate.isSuspect && this->table.mayTry(id, now);
    }
    const UpstreamLoad *load = this->table.load(id);
    if (load != nullptr) {
        const double own = load->busyFlows + kIdleFlowLoad * (load->openFlows - load->busyFlows);
        const auto sharing = static_cast<double>(this->membership.members().size());
        candidate.load = own * sharing / std::max(upstream.upstream.slots, 1);
    }
    return candidate;
}

int OpeningDirector::warmupLimit(const upstreams::UpstreamRecord &upstream) const
{
    return placement::warmupShare(
        this->routes.limits(upstream.upstream.service).warmupFlowsPerSecond,
        this->limits.warmupOverage, this->limits.warmupSlack);
}

bool OpeningDirector::ownsWarmup(const upstreams::UpstreamRecord &upstream) const
{
    // Load pattern: many upstreams start at once before many VMs. One VM opens flows to each cold
    // upstream, so that the sum over all VMs stays bounded without messages.
    if (upstream.upstream.dataCentre != this->dataCentre || !this->membership.isSettled()) {
        return false;
    }
    const std::vector<VmName> &members = this->membership.members();
    const auto owner = std::ranges::max_element(members, {}, [&upstream](const VmName &member) {
        return rendezvousScore(upstream.upstream.id.value, member.str());
    });
    return owner == members.end() || *owner == this->self;
}
}
