#include "flows/flowdirector.h"

#include "flows/flowtable.h"
#include "flows/types/flowevidence.h"
#include "flows/types/flowpacket.h"
#include "global/hash.h"
#include "membership/imembership.h"
#include "placement/iplacementpolicy.h"
#include "placement/types/candidate.h"
#include "placement/warmuppacer.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! A repeat that follows sooner was not caused by silence: it waited in a queue on its way here.
constexpr std::chrono::milliseconds kLeastSilence{150};

//! Silence after which flows on one upstream are given up if several of them wait.
constexpr std::chrono::milliseconds kSharedSilence{500};
constexpr int kSilentFlowsForReset = 3;
constexpr int kRepeatsForSharedReset = 2;

//! Silence after which two flows suffice; one may be silent since this VM is slow itself.
constexpr std::chrono::milliseconds kLongSilence{1200};
constexpr int kSilentFlowsAfterLong = 2;
constexpr int kRepeatsForReset = 3;

//! Load of a long flow between two requests, in requests.
constexpr double kIdleFlowLoad = 0.04;

//! Part of an upstream's connections that new flows may fill; the rest is for flows not seen here.
constexpr double kConnectionShare = 0.9;

//! Stands in a record for the upstream of a token that no known upstream has.
constexpr upstreams::UpstreamId kUnknown{0};

bool isKnown(const FlowRecord &record)
{
    return record.upstream != kUnknown;
}

bool isAfter(std::uint32_t later, std::uint32_t earlier)
{
    return static_cast<std::int32_t>(later - earlier) > 0;
}

//! Nothing is forwarded, so the upstream's silence from before says nothing.
void restartWait(FlowRecord &record, std::chrono::steady_clock::time_point now)
{
    record.lastPacket = now;
    record.waitingSince = now;
    record.repeats = 0;
}

std::chrono::milliseconds elapsed(std::chrono::steady_clock::time_point since,
                                  std::chrono::steady_clock::time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

FlowDecision refused(FlowAction action, ResultCode reason)
{
    return {.action = action, .reason = reason};
}

//! A reset must not hit a flow that opened through another VM, which only a first packet rules out.
FlowDecision refuseOpening(const FlowPacket &packet, ResultCode reason)
{
    return refused(packet.acknowledged == 0 ? FlowAction::Reset : FlowAction::Drop, reason);
}
}

FlowDirector::FlowDirector(const routing::RouteTable &routes,
                           const upstreams::UpstreamRegistry &registry,
                           const membership::IMembership &membership, FlowTable &table,
                           placement::IPlacementPolicy &policy, placement::WarmupPacer &pacer,
                           VmName self, DataCentreName dataCentre, const DirectorLimits &limits)
    : routes(routes), registry(registry), membership(membership), table(table), policy(policy),
      pacer(pacer), self(std::move(self)), dataCentre(std::move(dataCentre)), limits(limits)
{ }

FlowDirector::~FlowDirector() = default;

FlowDecision FlowDirector::decide(const FlowPacket &packet, TimePoint now)
{
    if (!this->isReady()) {
        return refused(FlowAction::Drop, ResultCode::FlowNotReady);
    }
    return packet.opens ? this->decideOpening(packet, now) : this->decideOpen(packet, now);
}

bool FlowDirector::isReady() const
{
    return this->routes.isLoaded() && this->registry.isSynchronized();
}

FlowDecision FlowDirector::decideOpening(const FlowPacket &packet, TimePoint now)
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

FlowDecision FlowDirector::repeatOpening(const FlowPacket &packet, const routing::Route &route,
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
        return this->forward(*upstream);
    }
    return this->place(packet, route, &record, now);
}

bool FlowDirector::mayStay(const upstreams::UpstreamRecord &upstream, const FlowRecord &record,
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

FlowDecision FlowDirector::place(const FlowPacket &packet, const routing::Route &route,
                                 FlowRecord *record, TimePoint now)
{
    const ServiceName &service = this->serviceFor(packet, route);
    this->collectCandidates(service, record, now);
    const auto chosen = this->policy.choose(this->candidates);
    if (!chosen) {
        return record == nullptr ? refuseOpening(packet, ResultCode::FlowNoUpstream)
                                 : refused(FlowAction::Drop, ResultCode::FlowNoUpstream);
    }
    const upstreams::UpstreamRecord &upstream = *this->choices[*chosen];
    const upstreams::UpstreamId id = upstream.upstream.id;
    if (upstream.isCold(now)) {
        this->pacer.noteOpened(id, now);
    }
    if (this->candidates[*chosen].isSuspect) {
        this->table.noteTrial(id, now);
    }
    FlowDecision decision = this->forward(upstream);
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

const ServiceName &FlowDirector::serviceFor(const FlowPacket &packet,
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

void FlowDirector::collectCandidates(const ServiceName &service, const FlowRecord *previous,
                                     TimePoint now)
{
    this->choices.clear();
    this->candidates.clear();
    const int maxConnections = this->routes.limits(service).maxConnections;
    for (const upstreams::UpstreamRecord *upstream : this->registry.ofService(service)) {
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

placement::Candidate FlowDirector::judge(const upstreams::UpstreamRecord &upstream,
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

int FlowDirector::warmupLimit(const upstreams::UpstreamRecord &upstream) const
{
    return placement::warmupShare(
        this->routes.limits(upstream.upstream.service).warmupFlowsPerSecond,
        this->limits.warmupOverage, this->limits.warmupSlack);
}

bool FlowDirector::ownsWarmup(const upstreams::UpstreamRecord &upstream) const
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

FlowDecision FlowDirector::decideOpen(const FlowPacket &packet, TimePoint now)
{
    FlowRecord *record = this->table.find(packet.flow);
    std::optional<std::chrono::milliseconds> openedAfter;
    std::optional<std::chrono::milliseconds> answeredAfter;
    const upstreams::UpstreamRecord *upstream = this->registry.findByToken(packet.token);
    if (record != nullptr && record->phase == FlowPhase::Opening && upstream != nullptr) {
        // The token of the first packet after the opening names the upstream whose answer the
        // caller took; a second upstream that answers later must not get the flow.
        if (record->upstream != upstream->upstream.id) {
            this->table.move(*record, upstream->upstream.id);
        }
        record->phase = FlowPhase::Open;
        openedAfter = elapsed(record->waitingSince, now);
        record->waitingSince = now;
        record->acknowledged = packet.acknowledged;
        this->table.noteProgress(*record, now);
    } else if (record != nullptr && record->phase != FlowPhase::Opening && isKnown(*record)) {
        upstream = this->registry.find(record->upstream);
    } else if (record != nullptr && record->phase == FlowPhase::Open && upstream != nullptr) {
        this->table.move(*record, upstream->upstream.id);
    } else if (record == nullptr && packet.token != 0) {
        record =
            this->recordOf(packet, upstream != nullptr ? upstream->upstream.id : kUnknown, now);
    }
    if (upstream != nullptr
        && this->routes.isEvacuatedFor(upstream->upstream.dataCentre, this->limits.evacuationGrace,
                                       now)) {
        if (record != nullptr) {
            restartWait(*record, now);
        }
        return refused(FlowAction::Drop, ResultCode::FlowDataCentreOut);
    }
    if (record != nullptr) {
        answeredAfter = this->observe(packet, *record, now);
    }
    const FlowDecision ended = this->decideEnded(packet, record, upstream, now);
    if (ended.reason != ResultCode::Ok) {
        return ended;
    }
    if (packet.resets) {
        this->table.erase(packet.flow);
    } else if (packet.finishes && record != nullptr) {
        this->table.close(*record);
    }
    FlowDecision decision = this->forward(*upstream);
    decision.openedAfter = openedAfter;
    decision.answeredAfter = answeredAfter;
    return decision;
}

FlowRecord *FlowDirector::recordOf(const FlowPacket &packet, upstreams::UpstreamId upstream,
                                   TimePoint now)
{
    FlowRecord *record = this->table.insert(packet.flow, upstream, FlowPhase::Open, now);
    if (record != nullptr) {
        record->acknowledged = packet.acknowledged;
        record->highestSequence = packet.sequence - 1;
    }
    return record;
}

std::optional<std::chrono::milliseconds> FlowDirector::observe(const FlowPacket &packet,
                                                               FlowRecord &record, TimePoint now)
{
    std::optional<std::chrono::milliseconds> answeredAfter;
    record.lastPacket = now;
    if (isAfter(packet.acknowledged, record.acknowledged)) {
        if (record.isBusy) {
            answeredAfter = elapsed(record.waitingSince, now);
        }
        record.acknowledged = packet.acknowledged;
        record.waitingSince = now;
        this->table.noteProgress(record, now);
        this->table.setBusy(record, false);
    }
    if (packet.payloadBytes == 0 || record.phase != FlowPhase::Open) {
        return answeredAfter;
    }
    if (isAfter(packet.sequence, record.highestSequence)) {
        record.highestSequence = packet.sequence;
        record.waitingSince = now;
        this->table.setBusy(record, true);
    } else if (now - record.waitingSince >= kLeastSilence) {
        // Repeats that waited together in a queue, as after a freeze, prove the silence of one.
        if (now - record.lastRepeat >= kLeastSilence) {
            ++record.repeats;
            record.lastRepeat = now;
        }
        this->table.noteSilence(record, record.waitingSince);
    }
    return answeredAfter;
}

FlowDecision FlowDirector::decideEnded(const FlowPacket &packet, FlowRecord *record,
                                       const upstreams::UpstreamRecord *upstream, TimePoint now)
{
    if (this->routes.wasRemoved(packet.flow.service)) {
        return refused(FlowAction::Reset, ResultCode::FlowRouteRemoved);
    }
    const bool isStuck = record != nullptr && record->repeats > 0 && !packet.resets;
    if (upstream == nullptr) {
        // Without doubt about the store, an upstream that is not listed does not live.
        const bool mayReset = isStuck && this->registry.isTrusted();
        return refused(mayReset ? FlowAction::Reset : FlowAction::Drop,
                       ResultCode::FlowTokenUnknown);
    }
    if (upstream->presence == upstreams::Presence::Gone && isStuck) {
        FlowDecision decision = refused(FlowAction::Reset, ResultCode::FlowUpstreamGone);
        decision.upstream = upstream->upstream.id;
        return decision;
    }
    if (isStuck && this->isAbandoned(packet, *record, now)) {
        FlowDecision decision = refused(FlowAction::Reset, ResultCode::FlowUpstreamSilent);
        decision.upstream = upstream->upstream.id;
        return decision;
    }
    return {};
}

bool FlowDirector::isAbandoned(const FlowPacket &packet, const FlowRecord &record,
                               TimePoint now) const
{
    // Load pattern: part of a service dies without a word, and long flows wait on it until their
    // callers' deadlines. Callers repeat idempotent requests after a reset; others gain nothing by
    // one, and may still get a late answer.
    const routing::Route *route = this->routes.find(packet.flow.service);
    const bool isRepeatable = route != nullptr && route->kind == routing::RequestKind::Idempotent;
    const UpstreamLoad *load = this->table.load(record.upstream);
    if (!this->limits.judgeSilence || !isRepeatable || load == nullptr
        || load->lastProgress > record.waitingSince) {
        return false;
    }
    const auto waited = now - record.waitingSince;
    const bool manyWait = load->silentFlows >= kSilentFlowsForReset
        && record.repeats >= kRepeatsForSharedReset && waited >= kSharedSilence;
    const bool waitsLong = load->silentFlows >= kSilentFlowsAfterLong
        && record.repeats >= kRepeatsForReset && waited >= kLongSilence;
    return manyWait || waitsLong;
}

FlowDecision FlowDirector::forward(const upstreams::UpstreamRecord &upstream) const
{
    return {.action = FlowAction::Forward,
            .upstream = upstream.upstream.id,
            .address = upstream.upstream.address,
            .token = upstreams::flowToken(upstream.upstream.id)};
}

FlowEvidence FlowDirector::evidence(upstreams::UpstreamId upstream, TimePoint now) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    FlowEvidence evidence{.configurationVersion = this->routes.version()};
    const upstreams::UpstreamRecord *record = this->registry.find(upstream);
    if (record != nullptr) {
        evidence.entryAge = duration_cast<milliseconds>(now - record->heardAt);
    }
    const UpstreamLoad *load = this->table.load(upstream);
    if (load != nullptr) {
        evidence.openFlows = load->openFlows;
        evidence.busyFlows = load->busyFlows;
        evidence.silentFlows = load->silentFlows;
        if (load->lastProgress != TimePoint()) {
            evidence.answerAge = duration_cast<milliseconds>(now - load->lastProgress);
        }
    }
    return evidence;
}
}
