#include "flows/flowtable.h"

#include "evidence/isharedevidence.h"
#include "flows/types/sharedflow.h"
#include "placement/responsetime.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! Silent flows that make an upstream a suspect; a single one may be caused by its client.
constexpr int kMinSilentFlowsOfSuspect = 2;

//! A client that has sent nothing for this long is no longer counted as awaiting a response.
constexpr std::chrono::milliseconds kMaxBusyTime{2500};
//! Clients have given up opening, or have retransmitted their FIN, within this time.
constexpr std::chrono::milliseconds kMaxOpeningTime{3000};
constexpr std::chrono::milliseconds kMaxClosingTime{3000};

//! hasPromptResponses() returns true if even the oldest recorded response is at most this old.
constexpr std::chrono::milliseconds kPromptWindow{800};

//! An upstream that was slow gets flows as others do after this long without a response, so that a
//! change is detected.
constexpr std::chrono::milliseconds kMaxResponseTimeAge{5000};

constexpr std::chrono::milliseconds kMinProbeDelay{500};
constexpr std::chrono::milliseconds kMaxProbeDelay{2000};
}

FlowTable::FlowTable(std::size_t capacity) : capacity(capacity) { }

FlowRecord *FlowTable::find(const FlowKey &key)
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

void FlowTable::visitOpening(
    const std::function<void(const FlowKey &, const FlowRecord &)> &visit) const
{
    for (const auto &[key, record] : this->records) {
        if (record.phase == FlowPhase::Opening) {
            visit(key, record);
        }
    }
}

FlowRecord *FlowTable::insert(const FlowKey &key, upstreams::UpstreamId upstream, FlowPhase phase,
                              TimePoint now)
{
    if (this->records.size() >= this->capacity) {
        return nullptr;
    }
    FlowRecord &record = this->records[key];
    record.upstream = upstream;
    record.phase = phase;
    record.recordedAt = now;
    record.lastPacket = now;
    record.waitingSince = now;
    ++this->findOrCreateLoad(upstream).openFlows;
    return &record;
}

FlowRecord *FlowTable::adopt(const FlowKey &key, const SharedFlow &announced, TimePoint now)
{
    FlowRecord *record = this->find(key);
    if (record == nullptr) {
        record = this->insert(key, announced.upstream, FlowPhase::Opening, now);
        if (record == nullptr) {
            return nullptr;
        }
    } else {
        this->reassign(*record, announced.upstream);
    }
    record->phase = announced.isOpen ? FlowPhase::Open : FlowPhase::Opening;
    record->initialSequence = announced.initialSequence;
    record->mayHaveOtherUpstream = true;
    record->isUpstreamProven = announced.isOpen;
    return record;
}

void FlowTable::reassign(FlowRecord &record, upstreams::UpstreamId upstream)
{
    const bool wasBusy = record.isBusy;
    this->removeFromLoad(record);
    record.upstream = upstream;
    record.isCountedAsSilent = false;
    ++this->findOrCreateLoad(upstream).openFlows;
    this->setBusy(record, wasBusy);
}

void FlowTable::setBusy(FlowRecord &record, bool isBusy)
{
    if (record.isBusy != isBusy) {
        record.isBusy = isBusy;
        this->findOrCreateLoad(record.upstream).busyFlows += isBusy ? 1 : -1;
    }
}

void FlowTable::close(FlowRecord &record)
{
    if (record.phase == FlowPhase::Closing) {
        return;
    }
    this->removeFromLoad(record);
    record.phase = FlowPhase::Closing;
}

void FlowTable::removeFromLoad(FlowRecord &record)
{
    this->setBusy(record, false);
    if (record.phase != FlowPhase::Closing) {
        --this->findOrCreateLoad(record.upstream).openFlows;
    }
}

void FlowTable::erase(const FlowKey &key)
{
    const auto found = this->records.find(key);
    if (found != this->records.end()) {
        this->removeFromLoad(found->second);
        this->records.erase(found);
    }
}

void FlowTable::recordResponse(FlowRecord &record, TimePoint now)
{
    if (record.isBusy && record.retransmissions == 0) {
        std::rotate(this->promptResponses.begin(), this->promptResponses.begin() + 1,
                    this->promptResponses.end());
        this->promptResponses.back() = now;
    }
    record.retransmissions = 0;
    record.isCountedAsSilent = false;
    UpstreamLoad &load = this->findOrCreateLoad(record.upstream);
    load.lastResponse = now;
    load.silentFlows = 0;
    load.probeDelay = std::chrono::milliseconds(0);
    if (this->evidence != nullptr) {
        this->evidence->recordResponse(record.upstream, now);
    }
}

void FlowTable::recordResponseTime(const FlowRecord &record, std::chrono::milliseconds time,
                                   TimePoint now)
{
    UpstreamLoad &load = this->findOrCreateLoad(record.upstream);
    load.responseTime =
        placement::smoothResponseTime(this->recentResponseTime(record.upstream, now), time);
}

std::chrono::microseconds FlowTable::recentResponseTime(upstreams::UpstreamId upstream,
                                                        TimePoint now) const
{
    const UpstreamLoad *load = this->findLoad(upstream);
    return load == nullptr || now - load->lastResponse > kMaxResponseTimeAge
        ? std::chrono::microseconds(0)
        : load->responseTime;
}

void FlowTable::recordSilence(FlowRecord &record, TimePoint since)
{
    UpstreamLoad &load = this->findOrCreateLoad(record.upstream);
    // Packets forwarded before the last response don't show that the upstream is silent since then.
    if (since < load.lastResponse) {
        return;
    }
    const bool isNewFlow = !record.isCountedAsSilent;
    if (isNewFlow) {
        record.isCountedAsSilent = true;
        load.silentSince = load.silentFlows == 0 ? since : std::min(load.silentSince, since);
        ++load.silentFlows;
    }
    if (this->evidence != nullptr) {
        this->evidence->recordSilence(record.upstream, since, isNewFlow, record.lastPacket);
    }
}

bool FlowTable::hasPromptResponses(TimePoint now) const
{
    return now - this->promptResponses.front() <= kPromptWindow;
}

FlowTable::TimePoint FlowTable::lastResponseOf(upstreams::UpstreamId upstream) const
{
    const UpstreamLoad *load = this->findLoad(upstream);
    return load == nullptr ? TimePoint() : load->lastResponse;
}

const UpstreamLoad *FlowTable::findLoad(upstreams::UpstreamId upstream) const
{
    const auto found = this->loads.find(upstream);
    return found == this->loads.end() ? nullptr : &found->second;
}

bool FlowTable::isSuspect(upstreams::UpstreamId upstream) const
{
    const UpstreamLoad *load = this->findLoad(upstream);
    return load != nullptr && load->silentFlows >= kMinSilentFlowsOfSuspect;
}

bool FlowTable::canProbe(upstreams::UpstreamId upstream, TimePoint now) const
{
    const UpstreamLoad *load = this->findLoad(upstream);
    return load != nullptr && now >= load->nextProbe && now - load->silentSince >= kMinProbeDelay;
}

void FlowTable::recordProbe(upstreams::UpstreamId upstream, TimePoint now)
{
    UpstreamLoad &load = this->findOrCreateLoad(upstream);
    load.probeDelay = std::clamp(load.probeDelay * 2, kMinProbeDelay, kMaxProbeDelay);
    load.nextProbe = now + load.probeDelay;
}

void FlowTable::clearSilentCounts()
{
    if (this->evidence != nullptr) {
        this->evidence->discardSilence();
    }
    for (auto &[id, load] : this->loads) {
        load.silentFlows = 0;
        load.probeDelay = std::chrono::milliseconds(0);
    }
    for (auto &[key, record] : this->records) {
        record.isCountedAsSilent = false;
    }
}

void FlowTable::sweep(TimePoint now, std::chrono::milliseconds idle)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        FlowRecord &record = entry->second;
        const auto idleFor = now - record.lastPacket;
        if (idleFor > kMaxBusyTime) {
            this->setBusy(record, false);
        }
        const bool isExpired = idleFor > idle
            || (record.phase == FlowPhase::Opening && idleFor > kMaxOpeningTime)
            || (record.phase == FlowPhase::Closing && idleFor > kMaxClosingTime);
        if (!isExpired) {
            ++entry;
            continue;
        }
        this->removeFromLoad(record);
        entry = this->records.erase(entry);
    }
    std::erase_if(this->loads, [now, idle](const auto &entry) {
        const UpstreamLoad &load = entry.second;
        return load.openFlows == 0 && load.silentFlows == 0 && now - load.lastResponse > idle;
    });
}
}
