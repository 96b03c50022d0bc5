#include "flows/internal/recordexchange.h"

#include "flows/internal/flowcache.h"
#include "flows/internal/homedirectory.h"
#include "flows/internal/recordkeeper.h"
#include "global/iclock.h"
#include "membership/imembership.h"
#include "membership/ipeertransport.h"
#include "membership/types/member.h"
#include "placement/iplacement.h"

#include <algorithm>
#include <utility>

namespace radishladder::flows {
namespace {
constexpr std::chrono::milliseconds kPullPeriod{500};
constexpr std::size_t kLeastSlotsPerTick = 8192;
constexpr std::size_t kTicksPerPass = 20;
constexpr std::size_t kHintBytes = 160;
constexpr std::uint8_t kSentFlags =
    FlowRecord::Opening | FlowRecord::Finished | FlowRecord::Reset | FlowRecord::OffTable;
}

RecordExchange::RecordExchange(membership::IPeerTransport &transport,
                               const placement::IPlacement &placement, HomeDirectory &homes,
                               RecordKeeper &keeper, FlowCache &cache, const IClock &clock,
                               const FlowOptions &options)
    : transport(transport), placement(placement), homes(homes), keeper(keeper), cache(cache),
      clock(clock), options(options),
      sender(options.replicationBytesPerSecond, transport.maxPayloadBytes(),
             [this](PeerId to, const std::vector<std::uint8_t> &payload) {
                 this->transport.send(this->homes.nameOf(to), membership::MessageKind::FlowRecords,
                                      payload);
             })
{
    using membership::MessageKind;
    transport.handle(MessageKind::FlowRecords, [this](const VmName &from, auto payload) {
        this->receiveRecords(this->homes.idOf(from), payload);
    });
    transport.handle(MessageKind::FlowPull, [this](const VmName &from, auto payload) {
        this->receivePull(this->homes.idOf(from), payload);
    });
    transport.handle(MessageKind::FlowHints,
                     [this](const VmName &, auto payload) { this->receiveHints(payload); });
}

void RecordExchange::correctCaches(std::uint64_t hash, placement::UpstreamIndex upstream)
{
    RecordBatch batch;
    batch.records.push_back({.hash = hash, .wireId = this->placement.upstream(upstream).wireId});
    const auto payload = this->codec.encode(batch);
    for (const VmName &name : this->homes.others()) {
        if (!this->sender.spend(kHintBytes)) {
            return;
        }
        this->transport.send(name, membership::MessageKind::FlowHints, payload);
    }
}

void RecordExchange::tick(TimePoint now)
{
    this->sender.tick(now);
    this->resendLost(now);
    this->sendUrgent(now);
    this->sweep(now);
    this->sender.flush(now);
    this->sendPulls(now);
}

void RecordExchange::beginHandOver(TimePoint now)
{
    this->sender.lift();
    this->homes.leave(now);
    this->handingOver = true;
    this->handOverPass = this->pass;
}

bool RecordExchange::isHandedOver() const
{
    return this->handedOver;
}

void RecordExchange::resendLost(TimePoint now)
{
    for (const std::uint64_t hash : this->sender.takeLost(now)) {
        if (FlowRecord *record = this->keeper.find(hash)) {
            record->holder = kNoPeer;
        }
    }
}

void RecordExchange::sendUrgent(TimePoint now)
{
    std::vector<std::uint64_t> waiting = std::exchange(this->urgent, {});
    for (const std::uint64_t hash : waiting) {
        FlowRecord *record = this->keeper.find(hash);
        if (record == nullptr) {
            continue;
        }
        const PeerId target = this->targetOf(*record, this->homeOf(*record, now));
        if (target != kNoPeer && target != record->holder
            && !this->sendRecord(*record, target, false, now)) {
            this->urgent.push_back(hash);
        }
    }
}

void RecordExchange::sweep(TimePoint now)
{
    const std::size_t count = this->keeper.slotCount();
    if (count != this->passSlots) {
        // The table grew and its records moved: what this pass has seen says nothing any more.
        this->passSlots = count;
        this->cursor = 0;
        this->missing.clear();
    }
    std::size_t steps = std::max(kLeastSlotsPerTick, count / kTicksPerPass);
    if (this->handingOver) {
        steps = count;
    }
    steps = std::min(steps, count);
    for (std::size_t i = 0; i < steps; ++i) {
        FlowRecord &record = this->keeper.slot(this->cursor);
        const std::size_t before = this->keeper.size();
        if (!record.isEmpty()) {
            this->visit(record, now);
        }
        if (this->keeper.size() < before) {
            // Another record may have moved to this place.
            continue;
        }
        if (++this->cursor == count) {
            this->cursor = 0;
            this->finishPass();
        }
    }
}

void RecordExchange::finishPass()
{
    std::erase_if(this->pulls, [this](const auto &pull) {
        const auto &[peer, askedInPass] = pull;
        const bool isDone = askedInPass < this->pass && !this->missing.contains(peer)
            && this->sender.isIdle(peer) && this->urgent.empty();
        if (isDone) {
            this->served.insert(peer);
            this->sendPull(peer, {.kind = PullMessage::Kind::TakenOver});
        }
        return isDone;
    });
    this->handedOver = this->handingOver && this->handOverPass < this->pass && this->missing.empty()
        && this->sender.isIdle() && this->urgent.empty();
    this->missing.clear();
    ++this->pass;
}

void RecordExchange::visit(FlowRecord &record, TimePoint now)
{
    const HomeView &home = this->homeOf(record, now);
    if (home.isHome) {
        record.flags &= static_cast<std::uint8_t>(~FlowRecord::Replica);
    }
    if (this->keeper.isOver(record, toFlowTime(now))) {
        this->expire(record, now);
        return;
    }
    const PeerId target = this->targetOf(record, home);
    if (target == kNoPeer) {
        return;
    }
    if (target != record.holder) {
        this->missing.insert(target);
    }
    if (this->isDue(record, home, target, now)) {
        this->sendRecord(record, target, false, now);
    }
}

void RecordExchange::expire(FlowRecord &record, TimePoint now)
{
    const bool tellBackup = !record.has(FlowRecord::Replica) && record.holder != kNoPeer
        && this->homes.reachable(record.holder) != nullptr;
    if (tellBackup) {
        this->sendRecord(record, record.holder, true, now);
    }
    this->keeper.remove(&record, now);
}

PeerId RecordExchange::targetOf(const FlowRecord &record, const HomeView &home) const
{
    if (home.isHome) {
        return home.ranks[1];
    }
    // Whoever sent a replica looks after it as long as it lives.
    const bool isCaredFor = record.has(FlowRecord::Replica) && record.holder != home.ranks[0]
        && this->homes.reachable(record.holder) != nullptr;
    return isCaredFor ? kNoPeer : home.ranks[0];
}

bool RecordExchange::isDue(const FlowRecord &record, const HomeView &home, PeerId target,
                           TimePoint now) const
{
    const FlowTime time = toFlowTime(now);
    if (target != record.holder) {
        return !home.isHome || this->handingOver || record.has(FlowRecord::OffTable)
            || flowAge(time, record.placedAt) >= this->options.replicateAfter;
    }
    constexpr int kRefreshesPerLimit = 3;
    return home.isHome && flowAge(record.lastUsed, record.lastSent) < flowAge(time, record.lastSent)
        && record.lastUsed != record.lastSent
        && flowAge(time, record.lastSent) >= this->keeper.idleLimit(record) / kRefreshesPerLimit;
}

bool RecordExchange::sendRecord(FlowRecord &record, PeerId target, bool ended, TimePoint now)
{
    const FlowTime time = toFlowTime(now);
    SentRecord sent;
    sent.hash = record.hash;
    sent.wireId = this->placement.upstream(record.upstream).wireId;
    sent.flags = record.flags & kSentFlags;
    sent.ended = ended;
    sent.age = std::chrono::duration_cast<std::chrono::seconds>(flowAge(time, record.lastUsed));
    if (!this->sender.add(target, sent, now)) {
        return false;
    }
    record.holder = target;
    record.lastSent = time;
    return true;
}

void RecordExchange::receiveRecords(PeerId from, std::span<const std::uint8_t> payload)
{
    const auto batch = this->codec.decodeBatch(payload);
    if (!batch) {
        return;
    }
    bool whole = true;
    for (const SentRecord &sent : batch->records) {
        whole = this->store(from, sent) && whole;
    }
    if (whole) {
        this->sendPull(from, {.kind = PullMessage::Kind::Acknowledge, .sequence = batch->sequence});
    }
}

bool RecordExchange::store(PeerId from, const SentRecord &sent)
{
    const auto upstream = this->placement.findWireId(sent.wireId);
    FlowRecord *record = this->keeper.find(sent.hash);
    if (sent.ended) {
        this->forget(record, from);
        return true;
    }
    if (!upstream) {
        // The configuration here is behind; the sender tries again.
        return false;
    }
    const TimePoint now = this->clock.now();
    const FlowTime time = toFlowTime(now);
    const bool isOwn = record != nullptr && !record->has(FlowRecord::Replica);
    if (isOwn && !this->keeper.isOver(*record, time)) {
        // Two VMs placed the flow; the one that still is its home has seen its last packets.
        return true;
    }
    if (record == nullptr || record->upstream != *upstream || isOwn) {
        const auto service = this->placement.upstream(*upstream).service;
        const auto table = this->placement.view(service, sent.hash).current;
        record = this->keeper.add(sent.hash, *upstream, table, now);
    }
    if (record == nullptr) {
        return false;
    }
    record->flags = sent.flags | FlowRecord::Replica;
    record->holder = from;
    const auto age = std::chrono::duration_cast<FlowTicks>(sent.age).count();
    record->lastUsed = (time - static_cast<FlowTime>(age)) & kFlowTimeMask;
    return true;
}

void RecordExchange::forget(FlowRecord *record, PeerId from)
{
    if (record != nullptr && record->has(FlowRecord::Replica) && record->holder == from) {
        this->keeper.remove(record, this->clock.now());
    }
}

void RecordExchange::receivePull(PeerId from, std::span<const std::uint8_t> payload)
{
    const auto message = this->codec.decodePull(payload);
    if (!message) {
        return;
    }
    switch (message->kind) {
    case PullMessage::Kind::Acknowledge:
        this->sender.acknowledge(from, message->sequence);
        return;
    case PullMessage::Kind::TakenOver:
        this->homes.noteTakenOver(from, this->clock.now());
        return;
    case PullMessage::Kind::Pull:
        // A VM that is unknown here holds no duty in this VM's eyes, so nothing would be sent.
        if (this->homes.reachable(from) != nullptr) {
            this->served.erase(from);
            this->pulls.try_emplace(from, this->pass);
        }
        return;
    }
}

void RecordExchange::receiveHints(std::span<const std::uint8_t> payload)
{
    const auto batch = this->codec.decodeBatch(payload);
    if (!batch) {
        return;
    }
    for (const SentRecord &sent : batch->records) {
        const auto upstream = this->placement.findWireId(sent.wireId);
        if (upstream) {
            this->cache.correct(sent.hash, *upstream);
        } else {
            this->cache.erase(sent.hash);
        }
    }
}

void RecordExchange::sendPulls(TimePoint now)
{
    for (const PeerId peer : this->homes.takeWanted(now)) {
        TimePoint &last = this->pulledAt[peer];
        if (now - last >= kPullPeriod) {
            last = now;
            this->sendPull(peer, {.kind = PullMessage::Kind::Pull});
        }
    }
}

void RecordExchange::sendPull(PeerId to, PullMessage message)
{
    this->transport.send(this->homes.nameOf(to), membership::MessageKind::FlowPull,
                         this->codec.encode(message));
}

const HomeView &RecordExchange::homeOf(const FlowRecord &record, TimePoint now) const
{
    const auto service = this->placement.upstream(record.upstream).service;
    return this->homes.lookup(this->placement.homeKey(service, record.hash), now);
}
}
