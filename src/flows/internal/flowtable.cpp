#include "flows/flowtable.h"

#include <algorithm>

namespace radishladder::flows {
namespace {
//! One unanswered flow may be the caller's own trouble.
constexpr int kSilentFlowsOfSuspect = 2;

//! A caller that was heard of within this time still waits for its answer.
constexpr std::chrono::milliseconds kBusyWithoutPacket{2500};
constexpr std::chrono::milliseconds kOpeningTime{3000};
constexpr std::chrono::milliseconds kClosingTime{3000};

//! Time in which the last prompt answers must have come.
constexpr std::chrono::milliseconds kPromptWindow{800};

constexpr std::chrono::milliseconds kFirstTrialPause{500};
constexpr std::chrono::milliseconds kLongestTrialPause{2000};
}

FlowTable::FlowTable(std::size_t capacity) : capacity(capacity) { }

FlowRecord *FlowTable::find(const FlowKey &key)
{
    const auto known = this->records.find(key);
    return known == this->records.end() ? nullptr : &known->second;
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
    record.lastPacket = now;
    record.waitingSince = now;
    ++this->loadOf(upstream).openFlows;
    return &record;
}

void FlowTable::move(FlowRecord &record, upstreams::UpstreamId upstream)
{
    const bool wasBusy = record.isBusy;
    this->release(record);
    record.upstream = upstream;
    record.isCountedSilent = false;
    ++this->loadOf(upstream).openFlows;
    this->setBusy(record, wasBusy);
}

void FlowTable::setBusy(FlowRecord &record, bool busy)
{
    if (record.isBusy != busy) {
        record.isBusy = busy;
        this->loadOf(record.upstream).busyFlows += busy ? 1 : -1;
    }
}

void FlowTable::close(FlowRecord &record)
{
    if (record.phase == FlowPhase::Closing) {
        return;
    }
    this->release(record);
    record.phase = FlowPhase::Closing;
}

void FlowTable::release(FlowRecord &record)
{
    this->setBusy(record, false);
    if (record.phase != FlowPhase::Closing) {
        --this->loadOf(record.upstream).openFlows;
    }
}

void FlowTable::erase(const FlowKey &key)
{
    const auto known = this->records.find(key);
    if (known != this->records.end()) {
        this->release(known->second);
        this->records.erase(known);
    }
}

void FlowTable::noteProgress(FlowRecord &record, TimePoint now)
{
    if (record.isBusy && record.repeats == 0) {
        std::rotate(this->promptAnswers.begin(), this->promptAnswers.begin() + 1,
                    this->promptAnswers.end());
        this->promptAnswers.back() = now;
    }
    record.repeats = 0;
    record.isCountedSilent = false;
    UpstreamLoad &load = this->loadOf(record.upstream);
    load.lastProgress = now;
    load.silentFlows = 0;
    load.trialPause = std::chrono::milliseconds(0);
}

void FlowTable::noteSilence(FlowRecord &record, TimePoint since)
{
    UpstreamLoad &load = this->loadOf(record.upstream);
    // What was forwarded before the last answer says nothing about the upstream since then.
    if (record.isCountedSilent || since < load.lastProgress) {
        return;
    }
    record.isCountedSilent = true;
    load.silentSince = load.silentFlows == 0 ? since : std::min(load.silentSince, since);
    ++load.silentFlows;
}

bool FlowTable::answersPromptly(TimePoint now) const
{
    return now - this->promptAnswers.front() <= kPromptWindow;
}

const UpstreamLoad *FlowTable::load(upstreams::UpstreamId upstream) const
{
    const auto known = this->loads.find(upstream);
    return known == this->loads.end() ? nullptr : &known->second;
}

bool FlowTable::isSuspect(upstreams::UpstreamId upstream) const
{
    const UpstreamLoad *load = this->load(upstream);
    return load != nullptr && load->silentFlows >= kSilentFlowsOfSuspect;
}

bool FlowTable::mayTry(upstreams::UpstreamId upstream, TimePoint now) const
{
    const UpstreamLoad *load = this->load(upstream);
    return load != nullptr && now >= load->nextTrial && now - load->silentSince >= kFirstTrialPause;
}

void FlowTable::noteTrial(upstreams::UpstreamId upstream, TimePoint now)
{
    UpstreamLoad &load = this->loadOf(upstream);
    load.trialPause = std::clamp(load.trialPause * 2, kFirstTrialPause, kLongestTrialPause);
    load.nextTrial = now + load.trialPause;
}

void FlowTable::clearSuspicions()
{
    for (auto &[id, load] : this->loads) {
        load.silentFlows = 0;
        load.trialPause = std::chrono::milliseconds(0);
    }
    for (auto &[key, record] : this->records) {
        record.isCountedSilent = false;
    }
}

void FlowTable::sweep(TimePoint now, std::chrono::milliseconds idle)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        FlowRecord &record = entry->second;
        const auto quiet = now - record.lastPacket;
        if (quiet > kBusyWithoutPacket) {
            this->setBusy(record, false);
        }
        const bool ended = quiet > idle
            || (record.phase == FlowPhase::Opening && quiet > kOpeningTime)
            || (record.phase == FlowPhase::Closing && quiet > kClosingTime);
        if (!ended) {
            ++entry;
            continue;
        }
        this->release(record);
        entry = this->records.erase(entry);
    }
    std::erase_if(this->loads, [now, idle](const auto &entry) {
        const UpstreamLoad &load = entry.second;
        return load.openFlows == 0 && load.silentFlows == 0 && now - load.lastProgress > idle;
    });
}
}
