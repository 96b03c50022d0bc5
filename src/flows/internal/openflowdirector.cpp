#include "flows/internal/openflowdirector.h"

#include "evidence/isharedevidence.h"
#include "flows/flowtable.h"
#include "flows/internal/decisions.h"
#include "flows/sharedflows.h"
#include "flows/types/directorlimits.h"
#include "flows/types/flowpacket.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! Time without a response after which flows on one upstream are reset if several are silent.
constexpr std::chrono::milliseconds kSharedSilence{500};
constexpr int kSilentFlowsForReset = 3;
constexpr int kRetransmissionsForSharedReset = 2;

//! Time without a response after which two silent flows suffice for a reset, or one if other
//! upstreams respond promptly.
constexpr std::chrono::milliseconds kLongSilence{1200};
constexpr int kSilentFlowsAfterLongSilence = 2;
constexpr int kRetransmissionsForReset = 3;

//! Other VMs whose clients must retransmit to an upstream after a flow began to wait, and time that
//! the upstream must have been silent on all VMs, before the flow is reset.
constexpr int kWitnessesForReset = 2;
constexpr std::chrono::milliseconds kSilenceElsewhere{500};

//! A VM that lags behind the store, because its watch hangs or pauses, receives a new address of an
//! upstream within this time.
constexpr std::chrono::milliseconds kMaxListingLag{2500};

//! Upstreams whose SYN+ACK was not acknowledged have stopped sending it this long after the SYN.
//! Each one changes the token that the client sends.
constexpr std::chrono::milliseconds kMaxSynAckTime{12000};

//! Placeholder in the record of a flow whose token belongs to no listed upstream.
constexpr upstreams::UpstreamId kUnknownUpstream{0};

bool hasUpstream(const FlowRecord &record)
{
    return record.upstream != kUnknownUpstream;
}

//! Compares sequence or acknowledgement numbers, which may wrap around.
bool isAfter(std::uint32_t later, std::uint32_t earlier)
{
    return static_cast<std::int32_t>(later - earlier) > 0;
}

//! Restarts the wait of a flow whose packets aren't forwarded, since the upstream can't respond to
//! packets that it doesn't receive.
void restartWait(FlowRecord &record, std::chrono::steady_clock::time_point now)
{
    record.lastPacket = now;
    record.waitingSince = now;
    record.retransmissions = 0;
}

std::chrono::milliseconds elapsed(std::chrono::steady_clock::time_point since,
                                  std::chrono::steady_clock::time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

}

OpenFlowDirector::OpenFlowDirector(const routing::RouteTable &routes,
                                   const upstreams::UpstreamRegistry &registry, FlowTable &table,
                                   const DirectorLimits &limits)
    : routes(routes), registry(registry), table(table), limits(limits)
{ }

FlowDecision OpenFlowDirector::decide(const FlowPacket &packet, TimePoint now)
{
    const TrackedFlow tracked = this->track(packet, now);
    const upstreams::UpstreamRecord *upstream = tracked.upstream;
    FlowRecord *record = tracked.record;
    if (this->isEvacuated(upstream, now)) {
        if (record != nullptr) {
            restartWait(*record, now);
        }
        return refusePacket(FlowAction::Drop, ResultCode::FlowDataCentreOut);
    }
    std::optional<std::chrono::milliseconds> responseTime;
    if (record != nullptr) {
        responseTime = this->updateRecord(packet, *record, now);
    }
    FlowDecision refusal = this->decideRefusal(packet, record, upstream, now);
    if (refusal.reason != ResultCode::Ok) {
        return refusal;
    }
    if (packet.isRst) {
        if (this->sharedFlows != nullptr) {
            this->sharedFlows->forget(packet.flow);
        }
        this->table.erase(packet.flow);
        record = nullptr;
    } else if (packet.isFin && record != nullptr) {
        this->table.close(*record);
    }
    FlowDecision decision = forwardTo(*upstream);
    decision.needsConfirmation = record != nullptr
        && (this->isEndUncertain(*record, *upstream)
            || (this->canResetForSilence(packet, *record)
                && this->isAddressUncertain(*record, now)));
    decision.needsRouteConfirmation = this->routes.wasRemoved(packet.flow.service);
    decision.openingTime = tracked.openingTime;
    decision.responseTime = responseTime;
    return decision;
}

OpenFlowDirector::TrackedFlow OpenFlowDirector::track(const FlowPacket &packet, TimePoint now)
{
    FlowRecord *known = this->applyAnnouncement(packet, this->table.find(packet.flow), now);
    TrackedFlow tracked{.record = known, .upstream = this->registry.findByToken(packet.token)};
    if (tracked.record == nullptr) {
        if (packet.token != 0) {
            tracked.record = this->insert(packet, tracked.upstream, now);
        }
        return tracked;
    }
    FlowRecord &record = *tracked.record;
    if (record.phase == FlowPhase::Opening && tracked.upstream != nullptr) {
        tracked.openingTime = this->recordOpened(packet, record, *tracked.upstream, now);
    } else if (record.phase != FlowPhase::Opening && hasUpstream(record)) {
        tracked.upstream = this->registry.find(record.upstream);
    } else if (record.phase == FlowPhase::Open && tracked.upstream != nullptr) {
        this->table.reassign(record, tracked.upstream->upstream.id);
        // Earlier packets were dropped, so this one is the first that the upstream gets.
        restartWait(record, now);
        record.highestSequence = packet.sequence - 1;
    }
    this->updateAnnouncement(packet, record, now);
    return tracked;
}

FlowRecord *OpenFlowDirector::applyAnnouncement(const FlowPacket &packet, FlowRecord *record,
                                                TimePoint now)
{
    const SharedFlow *announced =
        this->sharedFlows == nullptr ? nullptr : this->sharedFlows->find(packet);
    const bool isKnownHere =
        record != nullptr && (record->isUpstreamProven || record->phase == FlowPhase::Closing);
    if (announced == nullptr || !announced->isOpen || isKnownHere) {
        return record;
    }
    const SharedFlow flow = *announced;
    record = this->table.adopt(packet.flow, flow, now);
    if (record == nullptr) {
        return nullptr;
    }
    restartWait(*record, now);
    record->acknowledged = packet.acknowledged;
    record->highestSequence = packet.sequence - 1;
    // The VM that announced the flow may end before it does.
    this->sharedFlows->announce(packet.flow, flow, now);
    return record;
}

void OpenFlowDirector::updateAnnouncement(const FlowPacket &packet, FlowRecord &record,
                                          TimePoint now)
{
    const bool canProve = record.isUpstreamProven && record.phase == FlowPhase::Open;
    if (this->sharedFlows == nullptr || !canProve) {
        return;
    }
    const bool namesOther = packet.token != upstreams::flowToken(record.upstream);
    record.mayHaveOtherUpstream = record.mayHaveOtherUpstream || (namesOther && packet.token != 0);
    const SharedFlow *known = this->sharedFlows->find(packet);
    if (!record.mayHaveOtherUpstream) {
        if (known != nullptr) {
            // The flow opened before other VMs needed its announcement.
            this->sharedFlows->forget(packet.flow);
        }
        return;
    }
    if (known == nullptr || !known->isOpen) {
        this->sharedFlows->announce(packet.flow,
                                    {.upstream = record.upstream,
                                     .initialSequence = record.initialSequence,
                                     .isOpen = true,
                                     .openingSince = record.recordedAt},
                                    now);
    } else if (!namesOther && now - known->openingSince > kMaxSynAckTime) {
        record.mayHaveOtherUpstream = false;
        this->sharedFlows->forget(packet.flow);
    }
}

std::chrono::milliseconds OpenFlowDirector::recordOpened(const FlowPacket &packet,
                                                         FlowRecord &record,
                                                         const upstreams::UpstreamRecord &upstream,
                                                         TimePoint now)
{
    // The first packet after the SYN carries the token of the upstream whose response the client
    // accepted. A second upstream that responds later must not receive the flow.
    record.hasResponded = record.upstream == upstream.upstream.id;
    record.isUpstreamProven = true;
    if (!record.hasResponded) {
        record.mayHaveOtherUpstream = true;
        this->table.reassign(record, upstream.upstream.id);
    }
    const auto openingTime = elapsed(record.waitingSince, now);
    record.phase = FlowPhase::Open;
    record.waitingSince = now;
    record.acknowledged = packet.acknowledged;
    this->table.recordResponse(record, now);
    return openingTime;
}

bool OpenFlowDirector::isEvacuated(const upstreams::UpstreamRecord *upstream, TimePoint now) const
{
    return upstream != nullptr
        && this->routes.isEvacuatedFor(upstream->upstream.dataCentre, this->limits.evacuationGrace,
                                       now);
}

FlowRecord *OpenFlowDirector::insert(const FlowPacket &packet,
                                     const upstreams::UpstreamRecord *upstream, TimePoint now)
{
    const upstreams::UpstreamId id = upstream == nullptr ? kUnknownUpstream : upstream->upstream.id;
    FlowRecord *record = this->table.insert(packet.flow, id, FlowPhase::Open, now);
    if (record != nullptr) {
        record->acknowledged = packet.acknowledged;
        // updateRecord() then treats the packet as new, not as a retransmission.
        record->highestSequence = packet.sequence - 1;
    }
    return record;
}

std::optional<std::chrono::milliseconds> OpenFlowDirector::updateRecord(const FlowPacket &packet,
                                                                        FlowRecord &record,
                                                                        TimePoint now)
{
    std::optional<std::chrono::milliseconds> responseTime;
    record.lastPacket = now;
    if (isAfter(packet.acknowledged, record.acknowledged)) {
        if (record.isBusy) {
            responseTime = elapsed(record.waitingSince, now);
            record.hasResponded = true;
            if (record.retransmissions == 0) {
                this->table.recordResponseTime(record, *responseTime, now);
            }
        }
        record.acknowledged = packet.acknowledged;
        record.waitingSince = now;
        this->table.recordResponse(record, now);
        this->table.setBusy(record, false);
    }
    if (packet.payloadBytes == 0 || record.phase != FlowPhase::Open) {
        return responseTime;
    }
    if (isAfter(packet.sequence, record.highestSequence)) {
        record.highestSequence = packet.sequence;
        record.waitingSince = now;
        this->table.setBusy(record, true);
    } else if (now - record.waitingSince >= kMinSilence && !packet.mayHaveBeenQueued) {
        // Retransmissions that were queued together, for example while this VM was paused, count
        // as one.
        if (now - record.lastRetransmission >= kMinSilence) {
            ++record.retransmissions;
            record.previousTransmission = std::max(record.waitingSince, record.lastRetransmission);
            record.lastRetransmission = now;
        }
        if (hasUpstream(record)) {
            this->table.recordSilence(record, record.waitingSince);
        }
    }
    return responseTime;
}

FlowDecision OpenFlowDirector::decideRefusal(const FlowPacket &packet, FlowRecord *record,
                                             const upstreams::UpstreamRecord *upstream,
                                             TimePoint now)
{
    if (this->routes.wasRemoved(packet.flow.service) && this->isRemovalConfirmed(packet, record)) {
        return refusePacket(FlowAction::Reset, ResultCode::FlowRouteRemoved);
    }
    const bool isSilent = record != nullptr && record->retransmissions > 0 && !packet.isRst;
    if (upstream == nullptr) {
        return this->refuseUnlisted(record, isSilent);
    }
    if (isSilent && this->hasEnded(*record, *upstream)) {
        FlowDecision decision = refusePacket(FlowAction::Reset, ResultCode::FlowUpstreamGone);
        decision.upstream = upstream->upstream.id;
        return decision;
    }
    if (!isSilent || !this->canResetForSilence(packet, *record)
        || this->isAddressUncertain(*record, now)) {
        return {};
    }
    FlowDecision decision;
    if (this->isTimedOut(*record, now)) {
        decision = refusePacket(FlowAction::Reset, ResultCode::FlowUpstreamSilent);
    } else if (this->isSilentElsewhere(*record, *upstream, now)) {
        decision = refusePacket(FlowAction::Reset, ResultCode::FlowUpstreamSuspected);
    }
    decision.upstream = upstream->upstream.id;
    return decision;
}

FlowDecision OpenFlowDirector::refuseUnlisted(const FlowRecord *record, bool isSilent) const
{
    const bool isConfirmed = record != nullptr && this->isConfirmedFor(*record);
    const bool isReliable = this->registry.isReliable();
    const bool canReset = isSilent && isConfirmed && isReliable;
    FlowDecision decision =
        refusePacket(canReset ? FlowAction::Reset : FlowAction::Drop, ResultCode::FlowTokenUnknown);
    decision.needsConfirmation = record != nullptr && !(isConfirmed && isReliable);
    return decision;
}

bool OpenFlowDirector::isRemovalConfirmed(const FlowPacket &packet, const FlowRecord *record) const
{
    if (packet.token == 0) {
        // Packets of open flows have a token.
        return true;
    }
    // Another VM may have opened the flow on a route that was added again, which this VM has not
    // received yet.
    return record != nullptr && this->routes.confirmedAt() >= record->recordedAt;
}

bool OpenFlowDirector::isConfirmedFor(const FlowRecord &record) const
{
    // An upstream that isn't listed has ended, or it was added, or added again, after the time
    // until which this VM has all changes: watches pause, and may hang, here or at a relay.
    return this->registry.confirmedAt() >= record.waitingSince;
}

bool OpenFlowDirector::hasEnded(const FlowRecord &record,
                                const upstreams::UpstreamRecord &upstream) const
{
    return upstream.presence == upstreams::Presence::Gone && this->isConfirmedFor(record);
}

bool OpenFlowDirector::isEndUncertain(const FlowRecord &record,
                                      const upstreams::UpstreamRecord &upstream) const
{
    if (upstream.presence != upstreams::Presence::Gone || this->isConfirmedFor(record)) {
        return false;
    }
    // Load pattern: upstreams lose the store, not their clients, and respond on many flows, which
    // need no confirmation until one gets no response.
    const UpstreamLoad *load = this->table.findLoad(record.upstream);
    const bool isResponding = load != nullptr && load->lastResponse > upstream.presenceSince;
    return record.retransmissions > 0 || !isResponding;
}

bool OpenFlowDirector::isAddressUncertain(const FlowRecord &record, TimePoint now) const
{
    // Another VM may have opened the flow after the upstream started again under its identifier at
    // another address; packets to the former address get no response.
    return !record.hasResponded && !this->isConfirmedFor(record)
        && now - record.waitingSince < kMaxListingLag;
}

bool OpenFlowDirector::canResetForSilence(const FlowPacket &packet, const FlowRecord &record) const
{
    // While this VM was paused, the request may have been answered through another VM.
    if (record.retransmissions == 0 || packet.mayHaveBeenQueued) {
        return false;
    }
    // Load pattern: some upstreams of a service fail without closing their flows, and long flows
    // wait on them until their clients' deadlines. After a reset, clients retry idempotent
    // requests. For other requests a reset has no benefit, and a late response may still arrive.
    const routing::Route *route = this->routes.find(packet.flow.service);
    const bool canRetry = route != nullptr && route->kind == routing::RequestKind::Idempotent;
    if (!this->limits.detectSilence || !this->limits.resetSilentFlows || !canRetry) {
        return false;
    }
    const UpstreamLoad *load = this->table.findLoad(record.upstream);
    const bool respondsElsewhere = this->evidence != nullptr
        && this->evidence->lastResponseOf(record.upstream) > record.waitingSince;
    return load != nullptr && load->lastResponse <= record.waitingSince && !respondsElsewhere;
}

bool OpenFlowDirector::isSilentElsewhere(const FlowRecord &record,
                                         const upstreams::UpstreamRecord &upstream,
                                         TimePoint now) const
{
    // Load pattern: long flows on an upstream of an evacuated data centre, which gets no new flows.
    // Each VM has few of them, so the silence of this VM's flows alone shows little.
    // VMs that lag still forward to the former address of an upstream that has started again, and
    // report the silence there.
    if (this->evidence == nullptr || now - upstream.startReceivedAt < kMaxListingLag) {
        return false;
    }
    const evidence::SharedSilence silence = this->evidence->silenceOf(record.upstream, now);
    // If all reports are from before the last transmission, the upstream may have recovered since
    // and respond late.
    const TimePoint lastSent = std::max(record.waitingSince, record.previousTransmission);
    return silence.isSuspect && now - silence.since >= kSilenceElsewhere
        && this->evidence->witnessesSince(record.upstream, record.waitingSince, now)
        >= kWitnessesForReset
        && this->evidence->witnessesSince(record.upstream, lastSent, now) > 0;
}

bool OpenFlowDirector::isTimedOut(const FlowRecord &record, TimePoint now) const
{
    const UpstreamLoad *load = this->table.findLoad(record.upstream);
    const auto waited = now - record.waitingSince;
    const bool isSharedSilence = load->silentFlows >= kSilentFlowsForReset
        && record.retransmissions >= kRetransmissionsForSharedReset && waited >= kSharedSilence;
    // Load pattern: in a large fleet each VM has one flow on an upstream that fails. A VM that is
    // slow itself has one silent flow on each of many upstreams, but gets no prompt responses.
    const bool hasEnoughSilentFlows = load->silentFlows >= kSilentFlowsAfterLongSilence
        || (load->silentFlows > 0 && this->table.hasPromptResponses(now));
    const bool isLongSilence = hasEnoughSilentFlows
        && record.retransmissions >= kRetransmissionsForReset && waited >= kLongSilence;
    return isSharedSilence || isLongSilence;
}
}
