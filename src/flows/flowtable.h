#pragma once

#include "evidence/iownflows.h"
#include "flows/types/flowkey.h"
#include "flows/types/flowrecord.h"
#include "flows/types/upstreamload.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <unordered_map>

namespace radishladder::evidence {
class ISharedEvidence;
}

namespace radishladder::flows {
struct SharedFlow;

//! Stores the flows that this VM forwards, and the state of their upstreams as observed on these
//! flows; does no I/O and reads no clock.
class FlowTable : public evidence::IOwnFlows
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Stores at most \a capacity flows; further flows are forwarded without a record.
    explicit FlowTable(std::size_t capacity);

    //! Sets the evidence that is notified of silent flows and of responses; null if there is none.
    void setSharedEvidence(evidence::ISharedEvidence *shared) { this->evidence = shared; }

    //! Returns the record of a flow; null if there is none.
    FlowRecord *find(const FlowKey &key);

    //! Calls \a visit for each flow that has not opened yet.
    void visitOpening(const std::function<void(const FlowKey &, const FlowRecord &)> &visit) const;

    //! Creates the record of a flow on \a upstream; returns null if the table is full.
    FlowRecord *insert(const FlowKey &key, upstreams::UpstreamId upstream, FlowPhase phase,
                       TimePoint now);

    //! Stores what another VM announced of a flow, in its record or in a new one; returns null if
    //! the table is full.
    FlowRecord *adopt(const FlowKey &key, const SharedFlow &announced, TimePoint now);

    //! Assigns the flow of \a record to another upstream.
    void reassign(FlowRecord &record, upstreams::UpstreamId upstream);

    void setBusy(FlowRecord &record, bool isBusy);
    //! Moves the flow to the closing phase; it no longer counts as open on its upstream.
    void close(FlowRecord &record);
    void erase(const FlowKey &key);

    //! Records that the upstream of \a record has responded.
    void recordResponse(FlowRecord &record, TimePoint now);

    //! Records the time between a request that was not retransmitted and its response;
    //! called before recordResponse().
    void recordResponseTime(const FlowRecord &record, std::chrono::milliseconds time,
                            TimePoint now);

    //! Returns the smoothed response time of \a upstream; 0 if it is unknown or old.
    std::chrono::microseconds recentResponseTime(upstreams::UpstreamId upstream,
                                                 TimePoint now) const;

    //! Records that the client retransmitted a packet of \a record that has had no response since
    //! \a since.
    void recordSilence(FlowRecord &record, TimePoint since);

    bool hasPromptResponses(TimePoint now) const override;
    TimePoint lastPromptResponse() const override { return this->promptResponses.back(); }
    TimePoint lastResponseOf(upstreams::UpstreamId upstream) const override;

    //! Returns null if no flow on \a upstream has been recorded.
    const UpstreamLoad *findLoad(upstreams::UpstreamId upstream) const;

    //! Returns true if several flows on \a upstream are silent and it has not responded on any flow
    //! since.
    bool isSuspect(upstreams::UpstreamId upstream) const;

    //! Returns true if the suspect \a upstream may get a probe flow at \a now.
    bool canProbe(upstreams::UpstreamId upstream, TimePoint now) const;

    //! Records a probe flow to a suspect and schedules the next one.
    void recordProbe(upstreams::UpstreamId upstream, TimePoint now);

    //! Discards the silence counted against all upstreams, for example after this VM was cut off
    //! from the network, and the evidence of others.
    void clearSilentCounts();

    //! Erases flows that have been idle for longer than \a idle, that never opened or that have
    //! closed, and the state of upstreams without recent flows.
    void sweep(TimePoint now, std::chrono::milliseconds idle);

    std::size_t size() const { return this->records.size(); }

private:
    UpstreamLoad &findOrCreateLoad(upstreams::UpstreamId upstream) { return this->loads[upstream]; }
    //! Subtracts the flow from the open and busy flows of its upstream.
    void removeFromLoad(FlowRecord &record);

    std::size_t capacity;
    evidence::ISharedEvidence *evidence = nullptr;

    //! Times of the latest responses to requests that were not retransmitted, oldest first.
    std::array<TimePoint, 3> promptResponses;
    std::unordered_map<FlowKey, FlowRecord> records;
    std::unordered_map<upstreams::UpstreamId, UpstreamLoad> loads;
};
}
