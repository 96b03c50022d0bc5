#pragma once

#include "evidence/isharedevidence.h"
#include "evidence/senderfilter.h"
#include "evidence/suspectchanges.h"
#include "evidence/trafficbudget.h"
#include "evidence/types/evidencecounts.h"
#include "evidence/types/evidencedatagram.h"
#include "evidence/types/rejection.h"
#include "evidence/types/suspectchange.h"
#include "global/name.h"

#include <functional>
#include <optional>
#include <span>
#include <unordered_map>

namespace radishladder {
class IRandom;
}

namespace radishladder::evidence {
class IOwnFlows;
struct EvidenceEntry;

//! Combines the silence of upstreams on this VM's flows with the reports of other VMs, and decides
//! when this VM sends a report.
//!
//! Load pattern: upstreams fail without closing their flows, and each VM of a large data centre has
//! only a few flows on each of them. Alone, every VM loses two flows for each failed upstream.
class SharedEvidence : public ISharedEvidence
{
public:
    //! Decides whether an upstream is still listed.
    using ListedPredicate = std::function<bool(upstreams::UpstreamId)>;

    //! \a flows may be queried whenever a function of this object is called. \a start is a random
    //! number that identifies this start of the process.
    SharedEvidence(VmName self, std::uint32_t start, const IOwnFlows &flows, IRandom &random);
    ~SharedEvidence() override;

    //! Replaces the members of the data centre, this VM included.
    void setMembers(const std::vector<VmName> &members);

    //! Returns true if the data centre has enough members for shared evidence.
    bool isActive() const;

    //! Sets the function that is called when nextDue() has become earlier.
    void setWakeHandler(std::function<void()> handler) { this->wakeHandler = std::move(handler); }

    //! Discards all evidence after a pause of this VM, whose length its clock may not include.
    void recordPause(TimePoint now);

    //! Handles a datagram of another VM; returns why it is dropped, or Rejection::None.
    Rejection receive(std::span<const std::uint8_t> bytes, TimePoint now);

    //! Counts a datagram that is dropped unread.
    void recordRejected(Rejection rejection);

    //! Returns when nextDatagram() has to be called; std::nullopt if there is nothing to send.
    std::optional<TimePoint> nextDue() const { return this->due; }

    //! Writes the next datagram for all other members to \a out and returns its size; 0 if nothing
    //! is due.
    std::size_t nextDatagram(std::span<std::uint8_t> out, TimePoint now);

    //! Discards old evidence and that of upstreams that \a isListed rejects; must be called several
    //! times per second.
    void sweep(TimePoint now, const ListedPredicate &isListed);

    //! Returns the changes of suspects since the last call, without those that were reverted.
    std::vector<SuspectChange> takeChanges();

    const EvidenceCounts &counts() const { return this->totals; }
    std::size_t size() const { return this->entries.size(); }

    void recordSilence(upstreams::UpstreamId upstream, TimePoint since, bool isNewFlow,
                       TimePoint now) override;
    void recordResponse(upstreams::UpstreamId upstream, TimePoint now) override;
    void discardSilence() override;
    SharedSilence silenceOf(upstreams::UpstreamId upstream, TimePoint now) const override;
    int witnessesSince(upstreams::UpstreamId upstream, TimePoint after,
                       TimePoint now) const override;
    TimePoint lastResponseOf(upstreams::UpstreamId upstream) const override;
    std::vector<upstreams::UpstreamId> suspects(TimePoint now) const override;
    bool canProbe(upstreams::UpstreamId upstream, TimePoint now) const override;
    void recordProbe(upstreams::UpstreamId upstream, TimePoint now) override;

private:
    const EvidenceEntry *find(upstreams::UpstreamId upstream) const;
    EvidenceEntry *findOrCreate(upstreams::UpstreamId upstream, TimePoint now);
    void apply(std::uint64_t sender, const EvidenceRecord &record, TimePoint now);
    void applySilence(const EvidenceRecord &record, std::uint64_t sender, TimePoint now);
    //! Returns the last response of \a upstream on this VM; TimePoint() if it was before the last
    //! pause, whose length this VM's clock may not include.
    TimePoint responseSincePause(upstreams::UpstreamId upstream) const;
    //! Makes nextDue() return \a time if it is earlier.
    void wakeAt(std::optional<TimePoint> time);
    void recomputeDue();
    //! Appends a record to \a datagram if one about \a entry is due and may be sent.
    void appendRecord(upstreams::UpstreamId upstream, EvidenceEntry &entry,
                      EvidenceDatagram &datagram, TimePoint now);
    //! Returns true if a report of silence is due and may be sent now.
    bool takeReport(EvidenceEntry &entry, bool isSending, TimePoint now);
    //! Returns true if the silence is not caused by this VM itself.
    bool canReport(const EvidenceEntry &entry, TimePoint now) const;
    //! Records a change if the upstream became a suspect or is one no longer.
    void evaluate(upstreams::UpstreamId upstream, EvidenceEntry &entry, TimePoint now);
    //! Returns the number of members that come before this VM in probing \a upstream.
    std::size_t probeRankOf(upstreams::UpstreamId upstream) const;

    VmName self;
    const IOwnFlows &flows;
    IRandom &random;
    std::vector<VmName> members;
    SenderFilter filter;
    TrafficBudget budget;
    EvidenceDatagram incoming;
    EvidenceDatagram outgoing;
    EvidenceCounts totals;
    std::unordered_map<upstreams::UpstreamId, EvidenceEntry> entries;
    std::optional<TimePoint> due;
    std::function<void()> wakeHandler;
    SuspectChanges changes;

    //! End of the last pause of this VM.
    TimePoint resumedAt;
};
}
