#pragma once

#include "global/resultcode.h"
#include "upstreams/types/digest.h"
#include "upstreams/types/observation.h"
#include "upstreams/types/upstreamstate.h"

#include <chrono>
#include <optional>

namespace radishladder::upstreams {
struct LoadReport;

//! What this VM knows of one upstream: own observations, own probes and what other VMs told.
class UpstreamTracker
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Answers at the present allowance that prove one more slot.
    static constexpr int kAnswersPerSlot = 12;

    explicit UpstreamTracker(int slots);

    //! A request or probe of this VM ended.
    void observe(Observation observation, std::chrono::milliseconds latency, TimePoint now);

    //! A probe of this VM brought \a report.
    void report(const LoadReport &report, TimePoint now);

    //! A probe of this VM brought no report.
    void probeFailed(Observation observation, TimePoint now);

    //! Forgets own probes, because other VMs probe the upstream now.
    void endProbing();

    //! Another VM knows \a warmth.
    void learn(const Warmth &warmth, TimePoint now);

    //! Another prober's view; the worst of all is passed.
    void setRemoteCondition(Condition condition) { this->remoteCondition = condition; }

    //! The operators brought the upstream back with \a generation.
    void returnToService(std::uint64_t generation, TimePoint now);

    void setSlots(int slots) { this->slotLimit = slots; }

    //! Grows what a whole second without a sign of cold has proven.
    void tick(TimePoint now);

    UpstreamState state(TimePoint now) const;

    //! Why the state is not Ready.
    ResultCode reason() const { return this->lastReason; }

    //! Requests it may run at once over all VMs.
    int slotAllowance() const;

    //! New flows a second over all VMs; std::nullopt if unlimited.
    std::optional<int> flowAllowance() const;

    //! What to tell the other VMs.
    Digest digest(TimePoint now) const;

private:
    void noteAnswer(std::chrono::milliseconds latency, TimePoint now);
    bool isSlow(std::chrono::milliseconds latency) const;
    void noteSlow(TimePoint now);
    void noteProof(TimePoint now);
    void forgetProofs(TimePoint now);
    void returnToStart(ResultCode reason, TimePoint now);
    Condition ownCondition(TimePoint now) const;
    void hold(Condition condition, TimePoint now);

    int slotLimit;
    Warmth warmth;
    TimePoint startedAt{};
    std::optional<TimePoint> provenFrom;
    TimePoint lastProof{};
    int provenAnswers = 0;
    int silentInRow = 0;
    unsigned slowHistory = 0;
    std::chrono::milliseconds smoothedLatency{0};
    Condition heldCondition = Condition::Serving;
    TimePoint heldUntil{};
    Condition probedCondition = Condition::Serving;
    int probesFailed = 0;
    bool reportsStarting = false;
    Condition remoteCondition = Condition::Serving;
    ResultCode lastReason = ResultCode::UpstreamCold;
};
}
