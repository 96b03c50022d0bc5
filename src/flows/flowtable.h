#pragma once

#include "flows/types/flowkey.h"
#include "flows/types/flowrecord.h"
#include "flows/types/upstreamload.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace radishladder::flows {

//! Flows that passed this VM, and what they show of their upstreams; does no I/O and reads no
//! clock.
class FlowTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Holds at most \a capacity flows; more are forwarded without a record.
    explicit FlowTable(std::size_t capacity);

    //! Null if unknown.
    FlowRecord *find(const FlowKey &key);

    //! Starts a record on \a upstream; null if the table is full.
    FlowRecord *insert(const FlowKey &key, upstreams::UpstreamId upstream, FlowPhase phase,
                       TimePoint now);

    //! Moves a flow that has not opened to another upstream.
    void move(FlowRecord &record, upstreams::UpstreamId upstream);

    void setBusy(FlowRecord &record, bool busy);
    void close(FlowRecord &record);
    void erase(const FlowKey &key);

    //! The upstream of \a record has answered.
    void noteProgress(FlowRecord &record, TimePoint now);

    //! A packet of \a record was repeated without an answer since \a since.
    void noteSilence(FlowRecord &record, TimePoint since);

    //! True if several requests were answered lately before their callers repeated them, so that
    //! neither this VM nor its links hold packets up.
    bool answersPromptly(TimePoint now) const;

    //! Null if no flow was seen on \a upstream.
    const UpstreamLoad *load(upstreams::UpstreamId upstream) const;

    //! True if several flows went unanswered on \a upstream and none was answered since.
    bool isSuspect(upstreams::UpstreamId upstream) const;

    //! True if a suspect may be tried now.
    bool mayTry(upstreams::UpstreamId upstream, TimePoint now) const;

    //! Notes that a new flow tries a suspect.
    void noteTrial(upstreams::UpstreamId upstream, TimePoint now);

    //! Drops the evidence against all upstreams, for example after this VM was cut off.
    void clearSuspicions();

    //! Forgets flows that are idle for longer than \a idle or that never opened.
    void sweep(TimePoint now, std::chrono::milliseconds idle);

    std::size_t size() const { return this->records.size(); }

private:
    UpstreamLoad &loadOf(upstreams::UpstreamId upstream) { return this->loads[upstream]; }
    void release(FlowRecord &record);

    std::size_t capacity;

    //! When the last requests that were not repeated were answered, the oldest first.
    std::array<TimePoint, 3> promptAnswers;
    std::unordered_map<FlowKey, FlowRecord> records;
    std::unordered_map<upstreams::UpstreamId, UpstreamLoad> loads;
};
}
