#include "evidence/sharedevidence.h"

#include "evidence/evidencecodec.h"
#include "evidence/internal/evidenceentry.h"
#include "evidence/iownflows.h"
#include "global/hash.h"
#include "global/irandom.h"

#include <algorithm>

namespace radishladder::evidence {
namespace {
using std::chrono::duration_cast;
using std::chrono::milliseconds;

//! Fewer VMs have enough flows on each upstream of their own.
constexpr std::size_t kMinMembers = 8;

//! Bounds the memory; more upstreams than this are not silent at once while others respond.
constexpr std::size_t kMaxEntries = 1024;

//! As for suspects by own flows alone.
constexpr int kMinSilentFlows = 2;

//! Silence after which a second VM probes the upstream if only one VM still reports it.
constexpr milliseconds kSecondProberDelay{5000};

//! Longer than the time in which a second silence counts as flapping.
constexpr milliseconds kRetention{12000};

milliseconds age(SharedEvidence::TimePoint time, SharedEvidence::TimePoint now)
{
    return duration_cast<milliseconds>(now - time);
}
}

SharedEvidence::SharedEvidence(VmName self, std::uint32_t start, const IOwnFlows &flows,
                               IRandom &random)
    : self(std::move(self)), flows(flows), random(random), filter(hash64(this->self.str()))
{
    this->outgoing.sender = hash64(this->self.str());
    this->outgoing.senderStart = start;
}

SharedEvidence::~SharedEvidence() = default;

void SharedEvidence::setMembers(const std::vector<VmName> &newMembers)
{
    if (newMembers == this->members) {
        return;
    }
    this->members = newMembers;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(newMembers.size());
    for (const VmName &member : newMembers) {
        hashes.push_back(hash64(member.str()));
    }
    this->filter.setMembers(hashes);
    if (!this->isActive()) {
        this->entries.clear();
        this->due.reset();
    }
    for (auto &[upstream, entry] : this->entries) {
        entry.probeRank = this->probeRankOf(upstream);
    }
}

bool SharedEvidence::isActive() const
{
    return this->members.size() >= kMinMembers;
}

const EvidenceEntry *SharedEvidence::find(upstreams::UpstreamId upstream) const
{
    const auto found = this->entries.find(upstream);
    return found == this->entries.end() ? nullptr : &found->second;
}

EvidenceEntry *SharedEvidence::findOrCreate(upstreams::UpstreamId upstream, TimePoint now)
{
    const auto found = this->entries.find(upstream);
    if (found != this->entries.end()) {
        found->second.lastChange = now;
        return &found->second;
    }
    if (this->entries.size() >= kMaxEntries) {
        return nullptr;
    }
    EvidenceEntry &entry = this->entries[upstream];
    entry.lastChange = now;
    entry.probeRank = this->probeRankOf(upstream);
    return &entry;
}

void SharedEvidence::recordSilence(upstreams::UpstreamId upstream, TimePoint since, bool isNewFlow,
                                   TimePoint now)
{
    EvidenceEntry *entry = this->isActive() ? this->findOrCreate(upstream, now) : nullptr;
    if (entry == nullptr) {
        return;
    }
    entry->evidence.addOwn(since, isNewFlow, now);
    if (entry->evidence.isOwnSilent(now)) {
        if (isNewFlow) {
            entry->reports.recordNewFlow();
        }
        entry->reports.scheduleReport(entry->evidence, this->entries.size(), this->random, now);
        this->wakeAt(entry->reports.due());
    }
    this->evaluate(upstream, *entry, now);
}

void SharedEvidence::recordResponse(upstreams::UpstreamId upstream, TimePoint now)
{
    if (this->entries.empty()) {
        return;
    }
    const auto found = this->entries.find(upstream);
    if (found == this->entries.end()) {
        return;
    }
    EvidenceEntry &entry = found->second;
    entry.reports.cancelReport();
    if (entry.evidence.recordOwnResponse()) {
        entry.lastChange = now;
        entry.reports.scheduleRefutation(now, this->random, now);
        this->wakeAt(entry.reports.due());
    }
    this->evaluate(upstream, entry, now);
}

void SharedEvidence::discardSilence()
{
    this->entries.clear();
    this->due.reset();
}

void SharedEvidence::recordPause(TimePoint now)
{
    this->discardSilence();
    this->resumedAt = now;
}

Rejection SharedEvidence::receive(std::span<const std::uint8_t> bytes, TimePoint now)
{
    this->totals.receivedBytes += bytes.size();
    Rejection rejection =
        this->isActive() ? decodeEvidence(bytes, this->incoming) : Rejection::Inactive;
    if (rejection == Rejection::None) {
        rejection = this->filter.check(this->incoming);
    }
    if (rejection != Rejection::None) {
        this->recordRejected(rejection);
        return rejection;
    }
    this->budget.add(bytes.size(), now);
    this->totals.receivedRecords += this->incoming.recordCount;
    for (const EvidenceRecord &record : this->incoming.usedRecords()) {
        this->apply(this->incoming.sender, record, now);
    }
    return Rejection::None;
}

void SharedEvidence::recordRejected(Rejection rejection)
{
    ++this->totals.rejected[static_cast<std::size_t>(rejection)];
}

void SharedEvidence::apply(std::uint64_t sender, const EvidenceRecord &record, TimePoint now)
{
    const auto found = this->entries.find(record.upstream);
    if (record.responseAge && found != this->entries.end()) {
        EvidenceEntry &entry = found->second;
        const TimePoint response = now - *record.responseAge;
        if (entry.evidence.refute(response, now)) {
            entry.lastChange = now;
        }
        if (!entry.evidence.isOwnSilent(now)) {
            entry.reports.cancelReport();
        }
        entry.reports.recordRefutation(response);
        this->evaluate(record.upstream, entry, now);
    }
    if (record.silentFlows > 0) {
        this->applySilence(record, sender, now);
    }
}

void SharedEvidence::applySilence(const EvidenceRecord &record, std::uint64_t sender, TimePoint now)
{
    EvidenceEntry *entry = this->findOrCreate(record.upstream, now);
    if (entry == nullptr) {
        return;
    }
    const TimePoint since = now - record.silenceAge;
    if (this->responseSincePause(record.upstream) >= since) {
        entry->reports.scheduleRefutation(since, this->random, now);
        this->wakeAt(entry->reports.due());
        return;
    }
    if (record.responseAge) {
        entry->evidence.refute(now - *record.responseAge, now);
    }
    entry->evidence.addWitness({.sender = sender,
                                .silentFlows = record.silentFlows,
                                .since = since,
                                .lastRetransmission = now - record.retransmissionAge,
                                .receivedAt = now});
    entry->reports.recordReport(entry->evidence, this->entries.size(), this->random, now);
    this->wakeAt(entry->reports.due());
    this->evaluate(record.upstream, *entry, now);
}

SharedEvidence::TimePoint SharedEvidence::responseSincePause(upstreams::UpstreamId upstream) const
{
    const TimePoint response = this->flows.lastResponseOf(upstream);
    return response > this->resumedAt ? response : TimePoint();
}

void SharedEvidence::wakeAt(std::optional<TimePoint> time)
{
    if (!time || (this->due && *this->due <= *time)) {
        return;
    }
    this->due = time;
    if (this->wakeHandler) {
        this->wakeHandler();
    }
}

void SharedEvidence::recomputeDue()
{
    this->due.reset();
    for (const auto &[upstream, entry] : this->entries) {
        const auto time = entry.reports.due();
        if (time) {
            this->due = std::min(this->due.value_or(*time), *time);
        }
    }
}

std::size_t SharedEvidence::nextDatagram(std::span<std::uint8_t> out, TimePoint now)
{
    EvidenceDatagram &datagram = this->outgoing;
    datagram.recordCount = 0;
    // The second pass adds repeated reports that are due soon, if a datagram is sent in any case.
    for (int pass = 0; pass < 2; ++pass) {
        for (auto &[upstream, entry] : this->entries) {
            if (datagram.recordCount == EvidenceDatagram::kMaxRecords) {
                break;
            }
            this->appendRecord(upstream, entry, datagram, now);
        }
    }
    this->recomputeDue();
    if (datagram.recordCount == 0) {
        return 0;
    }
    ++datagram.sequence;
    const std::size_t size = encodeEvidence(datagram, out);
    this->budget.add(size, now);
    this->totals.sentRecords += datagram.recordCount;
    this->totals.sentBytes += size * (this->members.size() - 1);
    return size;
}

void SharedEvidence::appendRecord(upstreams::UpstreamId upstream, EvidenceEntry &entry,
                                  EvidenceDatagram &datagram, TimePoint now)
{
    ReportSchedule &reports = entry.reports;
    bool isRefuting = reports.isRefutationDue(now);
    if (isRefuting && !this->budget.allowsRefutation(now)) {
        reports.postponeRefutation(this->random, now);
        isRefuting = false;
    }
    const bool isReporting = this->takeReport(entry, datagram.recordCount > 0, now);
    const TimePoint response = this->responseSincePause(upstream);
    if (isRefuting) {
        reports.recordOwnRefutation();
    }
    if (!isReporting && (!isRefuting || response == TimePoint())) {
        return;
    }
    EvidenceRecord record{.upstream = upstream};
    if (response != TimePoint()) {
        record.responseAge = age(response, now);
    }
    if (isReporting) {
        record.silentFlows = entry.evidence.combine(now).ownSilentFlows;
        record.silenceAge = age(entry.evidence.ownSince(), now);
        record.retransmissionAge = age(entry.evidence.lastOwnRetransmission(), now);
    }
    datagram.records[datagram.recordCount++] = record;
}

bool SharedEvidence::takeReport(EvidenceEntry &entry, bool isSending, TimePoint now)
{
    if (!entry.reports.isReportDue(isSending, now)) {
        return false;
    }
    if (!entry.evidence.isOwnSilent(now)) {
        entry.reports.cancelReport();
        return false;
    }
    const bool canReport = this->canReport(entry, now);
    if (!canReport || !this->budget.allowsReport(now)) {
        entry.reports.postponeReport(canReport, this->random, now);
        return false;
    }
    entry.lastChange = now;
    entry.reports.recordOwnReport(entry.evidence, this->entries.size(), this->random, now);
    return true;
}

bool SharedEvidence::canReport(const EvidenceEntry &entry, TimePoint now) const
{
    // A VM that was paused or is cut off finds all upstreams silent. A prompt response after the
    // silence began shows that the cause is the upstream.
    const TimePoint lastPrompt = this->flows.lastPromptResponse();
    return this->flows.hasPromptResponses(now) && lastPrompt > entry.evidence.ownSince()
        && lastPrompt > this->resumedAt;
}

void SharedEvidence::evaluate(upstreams::UpstreamId upstream, EvidenceEntry &entry, TimePoint now)
{
    const SharedSilence silence = entry.evidence.combine(now);
    const bool isSuspect = silence.isSuspect || silence.ownSilentFlows >= kMinSilentFlows;
    const TimePoint response =
        std::max(entry.evidence.lastResponse(), this->responseSincePause(upstream));
    const bool hasResponded = response >= entry.silentSince;
    if (!entry.probes.setSuspect(isSuspect, hasResponded, now)) {
        return;
    }
    if (isSuspect) {
        entry.silentSince = silence.since;
    }
    this->changes.add({.upstream = upstream,
                       .isSuspect = isSuspect,
                       .hasResponded = hasResponded,
                       .silence = silence,
                       .sharedResponse = entry.evidence.lastResponse()});
}

void SharedEvidence::sweep(TimePoint now, const ListedPredicate &isListed)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        this->evaluate(entry->first, entry->second, now);
        const bool isExpired = now - entry->second.lastChange > kRetention;
        entry =
            isExpired || !isListed(entry->first) ? this->entries.erase(entry) : std::next(entry);
    }
}

std::vector<SuspectChange> SharedEvidence::takeChanges()
{
    return this->changes.take();
}

SharedSilence SharedEvidence::silenceOf(upstreams::UpstreamId upstream, TimePoint now) const
{
    const EvidenceEntry *entry = this->entries.empty() ? nullptr : this->find(upstream);
    return entry == nullptr ? SharedSilence() : entry->evidence.combine(now);
}

int SharedEvidence::witnessesSince(upstreams::UpstreamId upstream, TimePoint after,
                                   TimePoint now) const
{
    // Refutations wait for the budget soon after reports do, so none may have arrived yet.
    if (!this->budget.allowsReport(now)) {
        return 0;
    }
    const EvidenceEntry *entry = this->find(upstream);
    return entry == nullptr ? 0 : entry->evidence.witnessesSince(after, now);
}

SharedEvidence::TimePoint SharedEvidence::lastResponseOf(upstreams::UpstreamId upstream) const
{
    const EvidenceEntry *entry = this->find(upstream);
    return entry == nullptr ? TimePoint() : entry->evidence.lastResponse();
}

std::vector<upstreams::UpstreamId> SharedEvidence::suspects(TimePoint now) const
{
    std::vector<upstreams::UpstreamId> ids;
    for (const auto &[upstream, entry] : this->entries) {
        if (entry.evidence.combine(now).isSuspect) {
            ids.push_back(upstream);
        }
    }
    return ids;
}

std::size_t SharedEvidence::probeRankOf(upstreams::UpstreamId upstream) const
{
    const std::uint64_t ownScore = rendezvousScore(upstream.value, this->self.str());
    return static_cast<std::size_t>(
        std::ranges::count_if(this->members, [upstream, ownScore](const VmName &member) {
            return rendezvousScore(upstream.value, member.str()) > ownScore;
        }));
}

bool SharedEvidence::canProbe(upstreams::UpstreamId upstream, TimePoint now) const
{
    const EvidenceEntry *entry = this->find(upstream);
    if (entry == nullptr || entry->probeRank > 1) {
        return false;
    }
    const SharedSilence silence = entry->evidence.combine(now);
    // Load pattern: only the VM that probes an upstream cannot reach it. No other VM has a flow on
    // it whose response could refute the silence.
    const bool isFirstProberAlone = silence.witnesses == 1 && silence.ownSilentFlows == 0
        && now - silence.since >= kSecondProberDelay;
    return (entry->probeRank == 0 || isFirstProberAlone)
        && entry->probes.canProbe(silence.since, now);
}

void SharedEvidence::recordProbe(upstreams::UpstreamId upstream, TimePoint now)
{
    const auto found = this->entries.find(upstream);
    if (found != this->entries.end()) {
        found->second.probes.recordProbe(now);
    }
}
}
