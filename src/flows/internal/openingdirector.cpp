#include "flows/internal/openingdirector.h"

#include "flows/flowtable.h"
#include "flows/internal/decisions.h"
#include "flows/internal/openingadmission.h"
#include "flows/internal/spilling.h"
#include "flows/internal/suspectfilter.h"
#include "flows/sharedflows.h"
#include "flows/types/directorlimits.h"
#include "flows/types/flowpacket.h"
#include "global/hash.h"
#include "membership/imembership.h"
#include "placement/iplacementpolicy.h"
#include "placement/meanload.h"
#include "placement/types/candidate.h"
#include "placement/types/spilldecision.h"
#include "placement/upstreamsubset.h"
#include "placement/warmuppacer.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! An open flow that awaits no response counts as this share of a request in flight.
constexpr double kIdleFlowLoad = 0.04;

//! Share of an upstream's maximum connections up to which this VM opens new flows; the rest is
//! reserved for flows that this VM has no record of.
constexpr double kConnectionShare = 0.9;

//! Time without a SYN+ACK after which a SYN may go to a second upstream. Until then the first one
//! has sent its SYN+ACK more than once, so a single lost datagram doesn't explain the silence.
constexpr std::chrono::milliseconds kMinOpeningSilence{500};
}

OpeningDirector::OpeningDirector(const routing::RouteTable &routes,
                                 const upstreams::UpstreamRegistry &registry,
                                 const membership::IMembership &membership, FlowTable &table,
                                 placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer,
                                 OpeningAdmission &admission, Spilling &spilling,
                                 SuspectFilter &suspects, VmName self, DataCentreName dataCentre,
                                 const DirectorLimits &limits)
    : routes(routes), registry(registry), membership(membership), table(table), policy(policy),
      pacer(pacer), admission(admission), spilling(spilling), suspects(suspects),
      self(std::move(self)), dataCentre(std::move(dataCentre)), limits(limits)
{ }

OpeningDirector::~OpeningDirector() = default;

FlowDecision OpeningDirector::decide(const FlowPacket &packet, TimePoint now)
{
    if (packet.mayHaveBeenQueued) {
        // The flow may be open by now. A reset would end it, and the response of a second upstream
        // would change its token.
        return refusePacket(FlowAction::Drop, ResultCode::FlowOvertaken);
    }
    this->memberHistory.update(this->membership.members(), now);
    const routing::Route *route = this->routes.find(packet.flow.service);
    if (route == nullptr) {
        return refuseOpening(packet, ResultCode::FlowNoRoute);
    }
    FlowRecord *record = this->findRecord(packet, now);
    FlowDecision decision = this->decideFor(packet, *route, record, now);
    record = this->isLeaving ? this->table.find(packet.flow) : nullptr;
    if (record != nullptr && record->phase == FlowPhase::Opening) {
        this->announceOpening(packet.flow, *record, now);
    }
    return decision;
}

FlowDecision OpeningDirector::decideFor(const FlowPacket &packet, const routing::Route &route,
                                        FlowRecord *record, TimePoint now)
{
    return record == nullptr ? this->place(packet, route, nullptr, now)
                             : this->handleRetransmission(packet, route, *record, now);
}

FlowRecord *OpeningDirector::findRecord(const FlowPacket &packet, TimePoint now)
{
    if (packet.acknowledged == 0) {
        // The client may have opened a new flow from the port of an earlier one.
        this->table.erase(packet.flow);
        if (this->sharedFlows != nullptr) {
            this->sharedFlows->forget(packet.flow);
        }
        return nullptr;
    }
    FlowRecord *record = this->table.find(packet.flow);
    const SharedFlow *announced =
        this->sharedFlows == nullptr ? nullptr : this->sharedFlows->find(packet);
    const bool isOpenElsewhere = announced != nullptr && announced->isOpen && record != nullptr
        && record->phase == FlowPhase::Opening;
    if (announced == nullptr || (record != nullptr && !isOpenElsewhere)) {
        return record;
    }
    record = this->table.adopt(packet.flow, *announced, now);
    if (record != nullptr) {
        record->waitingSince = announced->openingSince;
        record->highestSequence = packet.sequence;
        this->table.setBusy(*record, !announced->isOpen);
    }
    return record;
}

void OpeningDirector::announceOpening(const FlowKey &flow, const FlowRecord &record, TimePoint now)
{
    if (this->sharedFlows == nullptr) {
        return;
    }
    this->sharedFlows->announce(flow,
                                {.upstream = record.upstream,
                                 .initialSequence = record.initialSequence,
                                 .openingSince = record.recordedAt},
                                now);
}

void OpeningDirector::setLeaving(bool isLeavingNow, TimePoint now)
{
    const bool hasBegun = isLeavingNow && !this->isLeaving && this->sharedFlows != nullptr;
    this->isLeaving = isLeavingNow;
    if (!hasBegun) {
        return;
    }
    this->table.visitOpening([this, now](const FlowKey &flow, const FlowRecord &record) {
        this->announceOpening(flow, record, now);
    });
}

FlowDecision OpeningDirector::handleRetransmission(const FlowPacket &packet,
                                                   const routing::Route &route, FlowRecord &record,
                                                   TimePoint now)
{
    if (record.phase != FlowPhase::Opening) {
        return refusePacket(FlowAction::Drop, ResultCode::FlowAlreadyOpen);
    }
    record.lastPacket = now;
    if (now - record.waitingSince >= kMinSilence) {
        this->table.recordSilence(record, record.waitingSince);
    }
    const upstreams::UpstreamRecord *upstream = this->registry.find(record.upstream);
    if (upstream == nullptr || !this->mayHaveAccepted(*upstream, route, record, now)) {
        return this->place(packet, route, &record, now);
    }
    // If the upstream has accepted the flow, it sends its SYN+ACK again without this packet.
    if (!this->canOpenOn(*upstream, now)) {
        return refusePacket(FlowAction::Drop, ResultCode::FlowNoUpstream);
    }
    if (upstream->isCold(now)) {
        this->pacer.recordOpened(record.upstream, now);
    }
    return forwardTo(*upstream);
}

bool OpeningDirector::mayHaveAccepted(const upstreams::UpstreamRecord &upstream,
                                      const routing::Route &route, const FlowRecord &record,
                                      TimePoint now) const
{
    // Two upstreams that accept one flow both send SYN+ACKs for seconds. Each of these changes the
    // token that the client sends, and a VM without a record of the flow then forwards it to the
    // wrong upstream.
    if (upstream.presence == upstreams::Presence::Gone) {
        return false;
    }
    const auto waited = now - record.waitingSince;
    if (this->canMoveEarly(route) && waited >= kMinSilence
        && this->suspects.wasSilentBefore(upstream, record.waitingSince, now)) {
        return false;
    }
    // If the upstream has responded on other flows meanwhile, this SYN or its response was lost.
    const UpstreamLoad *load = this->table.findLoad(record.upstream);
    return waited < kMinOpeningSilence
        || (load != nullptr && load->lastResponse > record.waitingSince);
}

bool OpeningDirector::canMoveEarly(const routing::Route &route) const
{
    // An upstream that comes back may still accept the flow too. If that breaks the flow, clients
    // retry only idempotent requests.
    return this->limits.detectSilence && this->limits.resetSilentFlows
        && route.kind == routing::RequestKind::Idempotent;
}

bool OpeningDirector::canOpenOn(const upstreams::UpstreamRecord &upstream, TimePoint now) const
{
    if (!upstream.acceptsNewFlows() || this->routes.isEvacuated(upstream.upstream.dataCentre)) {
        return false;
    }
    return !upstream.isCold(now)
        || this->pacer.canOpen(upstream.upstream.id, this->warmupLimit(upstream), now);
}

FlowDecision OpeningDirector::place(const FlowPacket &packet, const routing::Route &route,
                                    FlowRecord *record, TimePoint now)
{
    const ServiceName &service = this->serviceFor(packet, route);
    std::optional<placement::SpillDecision> spill;
    // The first transmission of a retransmitted SYN may have been accepted in the own data centre.
    const bool isNew = record == nullptr && packet.acknowledged == 0;
    const auto chosen =
        isNew ? this->chooseForNew(service, spill, now) : this->choose(service, record, now);
    if (!chosen) {
        return record == nullptr ? refuseOpening(packet, ResultCode::FlowNoUpstream)
                                 : refusePacket(FlowAction::Drop, ResultCode::FlowNoUpstream);
    }
    const placement::Candidate &candidate = this->candidates[*chosen];
    const upstreams::UpstreamRecord &upstream = *this->candidateRecords[*chosen];
    FlowDecision refusal = this->admission.decide(packet, route, service, candidate, upstream, now);
    if (refusal.reason != ResultCode::Ok) {
        return refusal;
    }
    const upstreams::UpstreamId id = upstream.upstream.id;
    if (upstream.isCold(now)) {
        this->pacer.recordOpened(id, now);
    }
    if (candidate.isSuspect) {
        this->suspects.recordProbe(upstream.upstream, now);
    }
    FlowDecision decision = forwardTo(upstream);
    decision.isPlaced = true;
    decision.ring = candidate.ring;
    decision.isPlacedAgain = record != nullptr;
    decision.spill = std::move(spill);
    if (record == nullptr) {
        record = this->table.insert(packet.flow, id, FlowPhase::Opening, now);
    } else {
        this->table.reassign(*record, id);
    }
    if (record != nullptr) {
        record->mayHaveOtherUpstream = packet.acknowledged > 0;
        record->initialSequence = packet.sequence;
        record->waitingSince = now;
        record->highestSequence = packet.sequence;
        this->table.setBusy(*record, true);
    }
    return decision;
}

const ServiceName &OpeningDirector::serviceFor(const FlowPacket &packet,
                                               const routing::Route &route) const
{
    std::uint64_t totalWeight = 0;
    for (const routing::WeightedService &weightedService : route.services) {
        totalWeight += static_cast<std::uint64_t>(weightedService.weight);
    }
    std::uint64_t offset = totalWeight == 0 ? 0 : flowHash(packet.flow) % totalWeight;
    for (const routing::WeightedService &weightedService : route.services) {
        const auto weight = static_cast<std::uint64_t>(weightedService.weight);
        if (offset < weight) {
            return weightedService.service;
        }
        offset -= weight;
    }
    return route.services.front().service;
}

std::optional<std::size_t> OpeningDirector::choose(const ServiceName &service,
                                                   const FlowRecord *previous, TimePoint now)
{
    // Load pattern: services with upstreams in many data centres. The own data centre nearly always
    // has a sufficient candidate, which saves evaluating the remote ones.
    this->collectCandidates(service, previous, &this->dataCentre, now);
    const auto local = this->policy.choose(this->candidates);
    if (local && this->policy.isSufficient(this->candidates[*local])) {
        return local;
    }
    this->collectCandidates(service, previous, nullptr, now);
    return this->policy.choose(this->candidates);
}

std::optional<std::size_t> OpeningDirector::chooseForNew(
    const ServiceName &service, std::optional<placement::SpillDecision> &spill, TimePoint now)
{
    spill = this->spilling.decide(service, now);
    if (spill) {
        if (const auto chosen = this->chooseIn(spill->dataCentre, service, now)) {
            return chosen;
        }
        spill.reset();
    }
    if (this->spilling.staysLocal(service, now)) {
        if (const auto chosen = this->chooseIn(this->dataCentre, service, now)) {
            return chosen;
        }
    }
    return this->choose(service, nullptr, now);
}

std::optional<std::size_t> OpeningDirector::chooseIn(const DataCentreName &dataCentre,
                                                     const ServiceName &service, TimePoint now)
{
    this->collectCandidates(service, nullptr, &dataCentre, now);
    const auto chosen = this->policy.choose(this->candidates);
    return chosen && !this->candidates[*chosen].isSuspect ? chosen : std::nullopt;
}

void OpeningDirector::collectCandidates(const ServiceName &service, const FlowRecord *previous,
                                        const DataCentreName *only, TimePoint now)
{
    this->candidateRecords.clear();
    this->candidates.clear();
    for (auto &[dataCentre, upstreams] : this->warmUpstreams) {
        upstreams.clear();
    }
    const int maxConnections = this->routes.limits(service).maxConnections;
    for (const upstreams::UpstreamRecord *upstream : this->registry.findByService(service)) {
        if (only != nullptr && upstream->upstream.dataCentre != *only) {
            continue;
        }
        if (!upstream->acceptsNewFlows()
            || this->routes.isEvacuated(upstream->upstream.dataCentre)) {
            continue;
        }
        const upstreams::UpstreamId id = upstream->upstream.id;
        if (!upstream->isCold(now)) {
            this->warmUpstreams[upstream->upstream.dataCentre].push_back(id);
        }
        if (previous != nullptr && previous->upstream == id) {
            continue;
        }
        const UpstreamLoad *load = this->table.findLoad(id);
        if (load != nullptr && load->openFlows >= maxConnections * kConnectionShare) {
            continue;
        }
        this->candidateRecords.push_back(upstream);
        this->candidates.push_back(this->evaluate(*upstream, now));
    }
    if (placement::UpstreamSubset::isUsedBy(this->membership.members().size())) {
        this->evaluateTogether(service, now);
    }
}

void OpeningDirector::evaluateTogether(const ServiceName &service, TimePoint now)
{
    const std::vector<VmName> &members = this->membership.members();
    const auto self = std::ranges::lower_bound(members, this->self);
    const std::size_t index = static_cast<std::size_t>(self - members.begin()) % members.size();
    for (const auto &[dataCentre, upstreams] : this->warmUpstreams) {
        if (!upstreams.empty()) {
            this->subsets[{service, dataCentre}].update(index, members.size(), upstreams);
        }
    }
    this->dataCentreLoads.clear();
    for (std::size_t i = 0; i < this->candidates.size(); ++i) {
        placement::Candidate &candidate = this->candidates[i];
        const upstreams::Upstream &upstream = this->candidateRecords[i]->upstream;
        const placement::UpstreamSubset &subset = this->subsets[{service, upstream.dataCentre}];
        const auto vmsPerUpstream = static_cast<double>(subset.vmsPerUpstream());
        candidate.load *= vmsPerUpstream / static_cast<double>(members.size());
        candidate.loadPerFlow = vmsPerUpstream / std::max(upstream.slots, 1);
        candidate.ring = candidate.isCold ? 0 : subset.ringOf(upstream.id);
        candidate.responseTime = this->table.recentResponseTime(upstream.id, now);
        candidate.dataCentreLoad = this->meanLoad(upstream.dataCentre);
    }
}

double OpeningDirector::meanLoad(const DataCentreName &dataCentre)
{
    const auto [known, isNew] = this->dataCentreLoads.try_emplace(dataCentre);
    if (!isNew) {
        return known->second;
    }
    int slots = 0;
    int ownRequests = 0;
    for (std::size_t i = 0; i < this->candidates.size(); ++i) {
        const upstreams::Upstream &upstream = this->candidateRecords[i]->upstream;
        const bool isUsable = !this->candidates[i].isCold && !this->candidates[i].isSuspect;
        if (!isUsable || upstream.dataCentre != dataCentre) {
            continue;
        }
        const UpstreamLoad *load = this->table.findLoad(upstream.id);
        ownRequests += load == nullptr ? 0 : load->busyFlows;
        slots += std::max(upstream.slots, 1);
    }
    known->second =
        placement::estimateMeanLoad(ownRequests, this->membership.members().size(), slots);
    return known->second;
}

placement::Candidate OpeningDirector::evaluate(const upstreams::UpstreamRecord &upstream,
                                               TimePoint now) const
{
    const upstreams::UpstreamId id = upstream.upstream.id;
    placement::Candidate candidate;
    candidate.isLocal = upstream.upstream.dataCentre == this->dataCentre;
    candidate.isCold = upstream.isCold(now);
    if (candidate.isCold && this->ownsWarmup(upstream)) {
        candidate.canWarmUp = this->pacer.canOpen(id, this->warmupLimit(upstream), now);
    }
    if (this->limits.detectSilence) {
        candidate.isSuspect = this->suspects.isSuspect(upstream.upstream, now);
        candidate.canProbe = candidate.isSuspect && this->suspects.canProbe(upstream.upstream, now);
    }
    const UpstreamLoad *load = this->table.findLoad(id);
    if (load != nullptr) {
        const double ownLoad =
            load->busyFlows + kIdleFlowLoad * (load->openFlows - load->busyFlows);
        const auto vmCount = static_cast<double>(this->membership.members().size());
        candidate.load = ownLoad * vmCount / std::max(upstream.upstream.slots, 1);
    }
    return candidate;
}

int OpeningDirector::warmupLimit(const upstreams::UpstreamRecord &upstream) const
{
    const int share =
        placement::warmupShare(this->routes.limits(upstream.upstream.service).warmupFlowsPerSecond,
                               this->limits.warmupOverage, this->limits.warmupSlack);
    // The share allows for two owners. While member lists differ, a former owner and two new ones
    // may open flows, so new owners take half of it each.
    return this->mayHaveFormerOwner(upstream) ? share / 2 : share;
}

bool OpeningDirector::mayHaveFormerOwner(const upstreams::UpstreamRecord &upstream) const
{
    const std::uint64_t id = upstream.upstream.id.value;
    const std::uint64_t ownScore = rendezvousScore(id, this->self.str());
    return std::ranges::any_of(this->memberHistory.recentlyLeft(),
                               [id, ownScore](const auto &left) {
                                   return rendezvousScore(id, left.first.str()) > ownScore;
                               });
}

bool OpeningDirector::ownsWarmup(const upstreams::UpstreamRecord &upstream) const
{
    // Load pattern: many upstreams start at once, and many VMs send them flows. Only one VM opens
    // flows to each cold upstream, which bounds the rate over all VMs without coordination.
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
