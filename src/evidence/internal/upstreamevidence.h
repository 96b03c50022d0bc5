#pragma once

#include "evidence/types/sharedsilence.h"
#include "evidence/types/witness.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <span>

namespace radishladder::evidence {

//! Silence of one upstream on the flows of this VM and as reported by others; has a fixed size.
class UpstreamEvidence
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Records a retransmission on a flow of this VM that began to wait at \a since.
    void addOwn(TimePoint since, bool isNewFlow, TimePoint now);

    //! Adds the report of another VM, unless it is refuted by a known response.
    void addWitness(const Witness &witness);

    //! Records a response on a flow of another VM, which refutes the silence that began before.
    //! Returns true if it refutes any.
    bool refute(TimePoint response, TimePoint now);

    //! Records a response on a flow of this VM. Returns true if any VM reported silence.
    bool recordOwnResponse();

    SharedSilence combine(TimePoint now) const;

    //! Returns the number of witnesses whose last retransmission was after \a after.
    int witnessesSince(TimePoint after, TimePoint now) const;

    //! Returns the number of witnesses whose report was received at \a after or later.
    int reportsSince(TimePoint after) const;

    //! Returns true if a client of this VM retransmitted lately without a response.
    bool isOwnSilent(TimePoint now) const;

    //! Returns true if the silence of this VM's flows was refuted lately and none of them got a
    //! response since.
    bool wasOwnRefuted(TimePoint now) const;

    TimePoint ownSince() const;
    TimePoint lastOwnRetransmission() const { return this->lastRetransmission; }

    //! Returns the time of the last response on a flow of another VM.
    TimePoint lastResponse() const { return this->sharedResponse; }

private:
    //! Bounds the memory; more witnesses or silent flows change no decision.
    static constexpr std::size_t kMaxWitnesses = 4;
    static constexpr std::size_t kMaxOwnFlows = 8;

    std::span<const Witness> usedWitnesses() const
    {
        return std::span(this->witnesses).first(this->witnessCount);
    }
    std::span<const TimePoint> ownFlows() const
    {
        return std::span(this->ownFlowTimes).first(this->ownFlowCount);
    }

    std::array<Witness, kMaxWitnesses> witnesses;
    std::size_t witnessCount = 0;

    //! When the silent flows of this VM began to wait.
    std::array<TimePoint, kMaxOwnFlows> ownFlowTimes;
    std::size_t ownFlowCount = 0;
    TimePoint lastRetransmission;

    //! When the silence of this VM's flows was refuted, and the response that refuted it.
    TimePoint ownRefutedAt;
    TimePoint refutingResponse;
    TimePoint sharedResponse;
};
}
