#include "upstreams/internal/upstreamtracker.h"

#include "upstreams/types/loadreport.h"

#include <algorithm>
#include <bit>

namespace radishladder::upstreams {
namespace {
constexpr int kFirstFlowsPerSecond = 20;
constexpr int kUnlimitedFlowLevel = 7;
constexpr int kSilentBeforeGone = 3;
constexpr int kFailedProbesBeforeGone = 2;
constexpr unsigned kSlowWindowMask = 0xf;
constexpr int kSlowAnswersWhenReady = 2;
constexpr int kSlowFactor = 8;
constexpr int kLatencyWeight = 8;
constexpr std::chrono::milliseconds kSlowFloor{500};
constexpr std::chrono::milliseconds kHold{1000};
constexpr std::chrono::seconds kFlowDoubling{1};

ResultCode reasonOf(Condition condition)
{
    switch (condition) {
    case Condition::Shedding:
        return ResultCode::UpstreamShedding;
    case Condition::Leaving:
        return ResultCode::UpstreamLeaving;
    case Condition::Gone:
        return ResultCode::UpstreamGone;
    case Condition::Serving:
        break;
    }
    return ResultCode::UpstreamCold;
}
}

UpstreamTracker::UpstreamTracker(int slots) : slotLimit(slots) { }

void UpstreamTracker::observe(Observation observation, std::chrono::milliseconds latency,
                              TimePoint now)
{
    // A request from before the last return to the start tells nothing of what came after it.
    const bool isStale = now - latency < this->startedAt;
    if (observation == Observation::Cancelled || isStale) {
        return;
    }
    switch (observation) {
    case Observation::Answered:
        this->noteAnswer(latency, now);
        return;
    case Observation::Refused:
        this->hold(Condition::Gone, now);
        break;
    case Observation::Shed:
        this->hold(Condition::Shedding, now);
        break;
    case Observation::Silent:
        if (++this->silentInRow >= kSilentBeforeGone) {
            this->hold(Condition::Gone, now);
        }
        break;
    case Observation::Cut:
    case Observation::Cancelled:
        break;
    }
    this->returnToStart(reasonOf(this->ownCondition(now)), now);
}

void UpstreamTracker::noteAnswer(std::chrono::milliseconds latency, TimePoint now)
{
    this->silentInRow = 0;
    const bool slow = this->isSlow(latency);
    this->slowHistory = ((this->slowHistory << 1) | (slow ? 1U : 0U)) & kSlowWindowMask;
    if (slow) {
        this->noteSlow(now);
        return;
    }
    this->smoothedLatency += (latency - this->smoothedLatency) / kLatencyWeight;
    if (this->reportsStarting) {
        return;
    }
    this->noteProof(now);
    if (this->warmth.slots < this->slotLimit && ++this->provenAnswers >= kAnswersPerSlot) {
        ++this->warmth.slots;
        this->provenAnswers = 0;
    }
}

bool UpstreamTracker::isSlow(std::chrono::milliseconds latency) const
{
    return latency > std::max(kSlowFloor, this->smoothedLatency * kSlowFactor);
}

void UpstreamTracker::noteSlow(TimePoint now)
{
    // One slow answer of a warm upstream may be a large request; two of four are not.
    const bool isWarm = this->warmth.slots >= this->slotLimit;
    const int needed = isWarm ? kSlowAnswersWhenReady : 1;
    if (std::popcount(this->slowHistory) >= needed) {
        this->returnToStart(ResultCode::UpstreamCold, now);
    }
}

void UpstreamTracker::noteProof(TimePoint now)
{
    this->lastProof = now;
    if (!this->provenFrom) {
        this->provenFrom = now;
    }
}

void UpstreamTracker::forgetProofs(TimePoint now)
{
    this->startedAt = now;
    this->provenFrom.reset();
    this->provenAnswers = 0;
    this->slowHistory = 0;
}

void UpstreamTracker::returnToStart(ResultCode reason, TimePoint now)
{
    this->lastReason = reason;
    this->forgetProofs(now);
    // At the start already: another reset would tell the other VMs nothing.
    if (this->warmth.isAtStart()) {
        return;
    }
    this->warmth = {.generation = this->warmth.generation, .resets = this->warmth.resets + 1};
}

void UpstreamTracker::hold(Condition condition, TimePoint now)
{
    this->heldCondition = std::max(condition, this->ownCondition(now));
    this->heldUntil = now + kHold;
}

void UpstreamTracker::report(const LoadReport &report, TimePoint now)
{
    this->probesFailed = 0;
    this->reportsStarting = report.state == ReportedState::Starting;
    this->probedCondition = Condition::Serving;
    switch (report.state) {
    case ReportedState::Starting:
        this->returnToStart(ResultCode::UpstreamCold, now);
        break;
    case ReportedState::Ready:
        this->noteProof(now);
        break;
    case ReportedState::Shedding:
        this->probedCondition = Condition::Shedding;
        break;
    case ReportedState::Leaving:
        this->probedCondition = Condition::Leaving;
        break;
    }
}

void UpstreamTracker::probeFailed(Observation observation, TimePoint now)
{
    ++this->probesFailed;
    if (observation != Observation::Refused && this->probesFailed < kFailedProbesBeforeGone) {
        return;
    }
    this->probedCondition = Condition::Gone;
    this->returnToStart(ResultCode::UpstreamGone, now);
}

void UpstreamTracker::endProbing()
{
    this->probesFailed = 0;
    this->reportsStarting = false;
    this->probedCondition = Condition::Serving;
}

void UpstreamTracker::learn(const Warmth &remote, TimePoint now)
{
    const Warmth merged = Warmth::merged(this->warmth, remote);
    const bool isNewStart =
        merged.generation != this->warmth.generation || merged.resets != this->warmth.resets;
    if (isNewStart) {
        this->lastReason = ResultCode::UpstreamCold;
        this->forgetProofs(now);
    }
    if (merged.slots > this->warmth.slots) {
        this->provenAnswers = 0;
    }
    if (merged.flowLevel > this->warmth.flowLevel) {
        this->provenFrom.reset();
    }
    this->warmth = merged;
}

void UpstreamTracker::returnToService(std::uint64_t generation, TimePoint now)
{
    this->learn({.generation = generation}, now);
}

void UpstreamTracker::tick(TimePoint now)
{
    const bool isHindered =
        this->reportsStarting || this->digest(now).condition != Condition::Serving;
    if (isHindered) {
        this->provenFrom.reset();
        return;
    }
    const bool isProven = this->provenFrom && this->lastProof - *this->provenFrom >= kFlowDoubling;
    if (isProven && this->warmth.flowLevel < kUnlimitedFlowLevel) {
        ++this->warmth.flowLevel;
        this->provenFrom = this->lastProof;
    }
}

Condition UpstreamTracker::ownCondition(TimePoint now) const
{
    return now < this->heldUntil ? this->heldCondition : Condition::Serving;
}

Digest UpstreamTracker::digest(TimePoint now) const
{
    return {this->warmth, std::max(this->ownCondition(now), this->probedCondition)};
}

UpstreamState UpstreamTracker::state(TimePoint now) const
{
    switch (std::max(this->digest(now).condition, this->remoteCondition)) {
    case Condition::Gone:
        return UpstreamState::Gone;
    case Condition::Leaving:
        return UpstreamState::Leaving;
    case Condition::Shedding:
        return UpstreamState::Shedding;
    case Condition::Serving:
        break;
    }
    if (this->warmth.isAtStart()) {
        return UpstreamState::Starting;
    }
    const bool isWarm = this->warmth.flowLevel >= kUnlimitedFlowLevel
        || (this->slotLimit > 1 && this->warmth.slots >= this->slotLimit);
    return isWarm ? UpstreamState::Ready : UpstreamState::Ramping;
}

int UpstreamTracker::slotAllowance() const
{
    return std::min(this->warmth.slots, this->slotLimit);
}

std::optional<int> UpstreamTracker::flowAllowance() const
{
    if (this->warmth.flowLevel >= kUnlimitedFlowLevel) {
        return std::nullopt;
    }
    return kFirstFlowsPerSecond << this->warmth.flowLevel;
}
}
