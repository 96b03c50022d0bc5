#include "flows/internal/openflowdirector.h"

#include "flows/flowtable.h"
#include "flows/internal/decisions.h"
#include "flows/types/directorlimits.h"
#include "flows/types/flowpacket.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

namespace radishladder::flows {
namespace {
//! Silence after which flows on one upstream are given up if several of them wait.
constexpr std::chrono::milliseconds kSharedSilence{500};
constexpr int kSilentFlowsForReset = 3;
constexpr int kRepeatsForSharedReset = 2;

//! An answer that comes so long after a packet was not on its way when the packet was sent.
constexpr std::chrono::milliseconds kConfirmationAge{300};

//! Silence after which two flows suffice, or one if other upstreams answer promptly.
constexpr std::chrono::milliseconds kLongSilence{1200};
constexpr int kSilentFlowsAfterLong = 2;
constexpr int kRepeatsForReset = 3;

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

}

OpenFlowDirector::OpenFlowDirector(const routing::RouteTable &routes,
                                   const upstreams::UpstreamRegistry &registry, FlowTable &table,
                                   const DirectorLimits &limits)
    : routes(routes), registry(registry), table(table), limits(limits)
{ }

FlowDecision OpenFlowDirector::decide(const FlowPacket &packet, TimePoint now)
{
    const Tracked tracked = this->track(packet, now);
    const upstreams::UpstreamRecord *upstream = tracked.upstream;
    FlowRecord *record = tracked.record;
    if (this->isOut(upstream, now)) {
        if (record != nullptr) {
            restartWait(*record, now);
        }
        return refused(FlowAction::Drop, ResultCode::FlowDataCentreOut);
    }
    std::optional<std::chrono::milliseconds> answeredAfter;
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
    FlowDecision decision = forwardTo(*upstream);
    decision.openedAfter = tracked.openedAfter;
    decision.answeredAfter = answeredAfter;
    return decision;
}

OpenFlowDirector::Tracked OpenFlowDirector::track(const FlowPacket &packet, TimePoint now)
{
    Tracked tracked{.record = this->table.find(packet.flow),
                    .upstream = this->registry.findByToken(packet.token)};
    if (tracked.record == nullptr) {
        if (packet.token != 0) {
            tracked.record = this->insert(packet, tracked.upstream, now);
        }
        return tracked;
    }
    FlowRecord &record = *tracked.record;
    if (record.phase == FlowPhase::Opening && tracked.upstream != nullptr) {
        tracked.openedAfter = this->noteOpened(packet, record, *tracked.upstream, now);
    } else if (record.phase != FlowPhase::Opening && isKnown(record)) {
        tracked.upstream = this->registry.find(record.upstream);
    } else if (record.phase == FlowPhase::Open && tracked.upstream != nullptr) {
        this->table.move(record, tracked.upstream->upstream.id);
    }
    return tracked;
}

std::chrono::milliseconds OpenFlowDirector::noteOpened(const FlowPacket &packet, FlowRecord &record,
                                                       const upstreams::UpstreamRecord &upstream,
                                                       TimePoint now)
{
    // The token of the first packet after the opening names the upstream whose answer the caller
    // took; a second upstream that answers later must not get the flow.
    if (record.upstream != upstream.upstream.id) {
        this->table.move(record, upstream.upstream.id);
    }
    const auto openedAfter = elapsed(record.waitingSince, now);
    record.phase = FlowPhase::Open;
    record.waitingSince = now;
    record.acknowledged = packet.acknowledged;
    this->table.noteProgress(record, now);
    return openedAfter;
}

bool OpenFlowDirector::isOut(const upstreams::UpstreamRecord *upstream, TimePoint now) const
{
    return upstream != nullptr
        && this->routes.isEvacuatedFor(upstream->upstream.dataCentre, this->limits.evacuationGrace,
                                       now);
}

FlowRecord *OpenFlowDirector::insert(const FlowPacket &packet,
                                     const upstreams::UpstreamRecord *upstream, TimePoint now)
{
    const upstreams::UpstreamId id = upstream == nullptr ? kUnknown : upstream->upstream.id;
    FlowRecord *record = this->table.insert(packet.flow, id, FlowPhase::Open, now);
    if (record != nullptr) {
        record->acknowledged = packet.acknowledged;
        record->highestSequence = packet.sequence - 1;
    }
    return record;
}

std::optional<std::chrono::milliseconds> OpenFlowDirector::observe(const FlowPacket &packet,
                                                                   FlowRecord &record,
                                                                   TimePoint now)
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

FlowDecision OpenFlowDirector::decideEnded(const FlowPacket &packet, FlowRecord *record,
                                           const upstreams::UpstreamRecord *upstream, TimePoint now)
{
    if (this->routes.wasRemoved(packet.flow.service)) {
        return refused(FlowAction::Reset, ResultCode::FlowRouteRemoved);
    }
    const bool isStuck = record != nullptr && record->repeats > 0 && !packet.resets;
    if (upstream == nullptr) {
        const bool mayReset = isStuck && this->isUnlisted(*record);
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

bool OpenFlowDirector::isUnlisted(const FlowRecord &record) const
{
    // An upstream that is not listed does not live, unless it was added since the store last
    // answered: a watch may be deaf while other calls are answered.
    return this->registry.isTrusted()
        && this->registry.confirmedAt() - record.waitingSince >= kConfirmationAge;
}

bool OpenFlowDirector::isAbandoned(const FlowPacket &packet, const FlowRecord &record,
                                   TimePoint now) const
{
    // Load pattern: part of a service dies without a word, and long flows wait on it until their
    // callers' deadlines. Callers repeat idempotent requests after a reset; others gain nothing by
    // one, and may still get a late answer.
    const routing::Route *route = this->routes.find(packet.flow.service);
    const bool isRepeatable = route != nullptr && route->kind == routing::RequestKind::Idempotent;
    const UpstreamLoad *load = this->table.load(record.upstream);
    const bool mayReset = this->limits.judgeSilence && this->limits.resetSilentFlows;
    if (!mayReset || !isRepeatable || load == nullptr || load->lastProgress > record.waitingSince) {
        return false;
    }
    const auto waited = now - record.waitingSince;
    const bool manyWait = load->silentFlows >= kSilentFlowsForReset
        && record.repeats >= kRepeatsForSharedReset && waited >= kSharedSilence;
    // Load pattern: in a large fleet each VM has one flow on an upstream that dies. A VM that is
    // slow itself sees one silent flow on each of many upstreams, but no prompt answers.
    const bool isEnough = load->silentFlows >= kSilentFlowsAfterLong
        || (load->silentFlows > 0 && this->table.answersPromptly(now));
    const bool waitsLong = isEnough && record.repeats >= kRepeatsForReset && waited >= kLongSilence;
    return manyWait || waitsLong;
}
}
