#include "membership/membership.h"

#include "global/hash.h"
#include "global/iclock.h"
#include "membership/internal/confirmationages.h"
#include "membership/internal/membershipstate.h"
#include "membership/membershipbounds.h"
#include "telemetry/imetrics.h"
#include "telemetry/itimeline.h"

#include <algorithm>
#include <bit>

namespace radishladder::membership {
namespace {
constexpr std::size_t kLeavingFanOut = 16;
constexpr std::size_t kSuspectsProbedAtOnce = 2;
constexpr std::chrono::milliseconds kUnprobedTimeout{3000};

//! Time to refute; the suspicion and the refutation need more hops in a larger fleet.
std::chrono::milliseconds suspicionTimeout(std::size_t vmCount)
{
    constexpr int kHopsOfSmallFleet = 4;
    const int hops = std::max(kHopsOfSmallFleet, static_cast<int>(std::bit_width(vmCount)));
    return kSuspicionTimeout * hops / kHopsOfSmallFleet;
}

bool mayHoldDuties(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}
}

Membership::State::State(const Member &self, IPeerTransport &transport, IRandom &random,
                         const IClock &clock, telemetry::ITimeLine &timeLine,
                         telemetry::IMetrics &metrics)
    : transport(transport), clock(clock), timeLine(timeLine),
      malformed(metrics.counter("messages_dropped_total", {{"reason", "MessageMalformed"}})),
      table(self, timeLine), probes(random)
{ }

Membership::Membership(const Member &self, IPeerTransport &transport, IRandom &random,
                       const IClock &clock, telemetry::ITimeLine &timeLine,
                       telemetry::IMetrics &metrics)
    : state(std::make_unique<State>(self, transport, random, clock, timeLine, metrics))
{
    transport.handle(MessageKind::Heartbeat, [this](const VmName &from, auto bytes) {
        this->state->receiveHeartbeat(from, bytes);
    });
    transport.handle(MessageKind::HeartbeatReply, [this](const VmName &from, auto bytes) {
        this->state->receiveAnswer(from, bytes);
    });
    transport.handle(MessageKind::VmListSample,
                     [this](const VmName &, auto bytes) { this->state->receiveListSample(bytes); });
}

Membership::~Membership() = default;

const VmName &Membership::self() const
{
    return this->state->table.self();
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> members;
    for (const auto &[name, record] : this->state->table.all()) {
        members.push_back(record.member);
    }
    return members;
}

std::size_t Membership::vmCount() const
{
    return this->state->table.all().size();
}

const Member *Membership::find(const VmName &name) const
{
    const MemberRecord *record = std::as_const(this->state->table).find(name);
    return record == nullptr ? nullptr : &record->member;
}

std::vector<VmName> Membership::ranked(std::uint64_t key, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, const VmName *>> scored;
    std::vector<std::pair<std::uint64_t, const VmName *>> keptOut;
    for (const auto &[name, record] : this->state->table.all()) {
        if (mayHoldDuties(record.member.state)) {
            const bool isOut = this->state->dataCentresOut.contains(record.member.dataCentre);
            (isOut ? keptOut : scored).emplace_back(rendezvousScore(key, name.str()), &name);
        }
    }
    if (scored.empty()) {
        scored = std::move(keptOut);
    }
    const std::size_t kept = std::min(count, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(kept),
                              [](const auto &left, const auto &right) {
                                  return left.first != right.first ? left.first > right.first
                                                                   : *left.second < *right.second;
                              });
    std::vector<VmName> names;
    for (std::size_t i = 0; i < kept; ++i) {
        names.push_back(*scored[i].second);
    }
    return names;
}

void Membership::keepOutOfDuties(const std::set<DataCentreName> &dataCentres)
{
    this->state->dataCentresOut = dataCentres;
}

bool Membership::isConfident(TimePoint now) const
{
    const State &own = *this->state;
    if (!own.isListKnown || !own.lastTick || now - *own.lastTick > kPauseBound) {
        return false;
    }
    const std::size_t counted = own.table.countedVms();
    std::size_t confirmed = 1;
    for (const auto &[name, record] : own.table.all()) {
        const bool isCounted =
            name != own.table.self() && record.member.state != MemberState::Leaving;
        if (isCounted && record.confirmedAt
            && now - *record.confirmedAt <= freshnessBound(counted)) {
            ++confirmed;
        }
    }
    return 2 * confirmed > counted;
}

bool Membership::isSettled(const AcknowledgedAt &acknowledgedAt, TimePoint now) const
{
    const MemberTable &table = this->state->table;
    const std::size_t counted = table.countedVms();
    const auto bound = silenceBound(counted);
    std::size_t acknowledged = 1;
    bool isAnySilent = false;
    TimePoint latest{};
    for (const auto &[name, record] : table.all()) {
        if (name == table.self()) {
            continue;
        }
        if (const auto at = acknowledgedAt(name)) {
            acknowledged += record.member.state != MemberState::Leaving ? 1 : 0;
            latest = std::max(latest, *at);
            continue;
        }
        if (now - std::max(record.member.lastHeard, record.knownSince) <= bound) {
            return false;
        }
        isAnySilent = true;
    }
    // A silent VM may be confident on answers it got before the others acknowledged; these answers
    // are too old once the bound has passed since the last acknowledgement, and later ones don't
    // count for it until it has caught up with their senders.
    return !isAnySilent || (2 * acknowledged > counted && now - latest > bound);
}

bool Membership::isRevisionKnownByAll(std::int64_t revision, TimePoint now) const
{
    if (this->state->own().member.documentRevision < revision) {
        return false;
    }
    return this->isSettled(
        [this, revision](const VmName &name) {
            return this->state->table.find(name)->documents.reachedAt(revision);
        },
        now);
}

void Membership::reportOwn(std::uint64_t generation, std::int64_t documentRevision)
{
    Member &member = this->state->own().member;
    member.generation = generation;
    member.documentRevision = documentRevision;
    member.newestDocument = std::max(member.newestDocument, documentRevision);
}

void Membership::reportNewestDocument(std::int64_t revision)
{
    Member &member = this->state->own().member;
    member.newestDocument = std::max(member.newestDocument, revision);
}

void Membership::subscribe(Subscriber subscriber)
{
    this->state->table.subscribe(std::move(subscriber));
}

void Membership::attach(IHeartbeatExtension &extension)
{
    this->state->extension = &extension;
}

void Membership::onAddresses(AddressUser user)
{
    this->state->addressUser = std::move(user);
    this->state->passAddresses();
}

void Membership::applyVmList(std::int64_t revision, const std::vector<ListedVm> &list)
{
    State &own = *this->state;
    if (own.isListKnown && revision <= own.own().member.vmListRevision) {
        return;
    }
    own.isListKnown = true;
    own.own().member.vmListRevision = revision;
    own.table.applyList(list, own.clock.now());
    own.passAddresses();
}

void Membership::tick()
{
    this->state->tick();
}

void Membership::announceLeaving()
{
    State &own = *this->state;
    MemberRecord &self = own.own();
    own.table.applyUpdate(self, MemberState::Leaving, self.member.incarnation + 1, own.clock.now());
    own.spread(self);
    std::vector<VmName> others;
    for (const auto &[name, record] : own.table.all()) {
        if (record.hasAddress && mayHoldDuties(record.member.state)) {
            others.push_back(name);
        }
    }
    own.probes.shuffle(others);
    others.resize(std::min(others.size(), kLeavingFanOut));
    for (const VmName &name : others) {
        own.probe(name, {.target = name, .sentAt = own.clock.now()});
    }
}

void Membership::State::passAddresses()
{
    if (!this->addressUser) {
        return;
    }
    std::vector<ListedVm> addresses;
    for (const auto &[name, record] : this->table.all()) {
        if (record.hasAddress) {
            addresses.push_back({.name = name, .peer = record.member.peer});
        }
    }
    this->addressUser(addresses);
}

void Membership::State::tick()
{
    const TimePoint now = this->clock.now();
    this->noteGap(now);
    this->lastTick = now;
    this->checkProbes(now);
    this->settlePending();
    if (this->lastHeartbeat && now - *this->lastHeartbeat < kHeartbeatPeriod) {
        return;
    }
    this->lastHeartbeat = now;
    this->checkSuspects(now);
    this->table.forgetSilent(now);
    this->probeNext(now);
    this->probeSuspects(now);
}

void Membership::State::noteGap(TimePoint now)
{
    if (!this->lastTick || now - *this->lastTick <= kPauseBound) {
        return;
    }
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->lastTick);
    this->timeLine.record({.kind = "vm.woken",
                           .subject = this->table.self().str(),
                           .detail = "paused for " + std::to_string(gap.count()) + " ms"});
    // Silence during the pause says nothing about the others.
    this->wokenAt = now;
    this->probes.probes().clear();
    for (auto &[name, record] : this->table.all()) {
        record.confirmedAt.reset();
        record.pending.reset();
        if (record.suspectSince) {
            record.suspectSince = now;
        }
        if (record.member.start != 0) {
            record.knownSince = now;
        }
    }
}

void Membership::State::checkProbes(TimePoint now)
{
    std::vector<std::uint64_t> tryOthers;
    auto &waiting = this->probes.probes();
    for (auto entry = waiting.begin(); entry != waiting.end();) {
        ProbeList::Probe &probe = entry->second;
        const auto age = now - probe.sentAt;
        MemberRecord *record = this->table.find(probe.target);
        const bool isOver = record == nullptr || age >= kProbeTimeout;
        if (!isOver) {
            if (age >= kDirectTimeout && !probe.triedOthers && probe.askedBy.isEmpty()
                && record->member.state != MemberState::Dead) {
                probe.triedOthers = true;
                tryOthers.push_back(entry->first);
            }
            ++entry;
            continue;
        }
        const bool isOwnProbe = probe.askedBy.isEmpty();
        entry = waiting.erase(entry);
        // The others can't answer a VM that is not on their list, so its probes prove nothing.
        if (record == nullptr || !isOwnProbe || this->table.isSelfUnlisted()) {
            continue;
        }
        const MemberState next =
            record->member.state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect;
        if (this->table.applyUpdate(*record, next, record->member.incarnation, now)) {
            this->spread(*record);
        }
    }
    for (const std::uint64_t sequence : tryOthers) {
        this->probeThroughOthers(sequence, waiting[sequence].target);
    }
}

void Membership::State::checkSuspects(TimePoint now)
{
    const auto timeout = suspicionTimeout(this->table.all().size());
    for (auto &[name, record] : this->table.all()) {
        // A VM without address can't be probed; it is judged by its own heartbeats.
        const bool isUnprobed = !record.hasAddress && name != this->table.self()
            && record.member.state == MemberState::Alive;
        if (isUnprobed && now - record.member.lastHeard > kUnprobedTimeout) {
            this->suspect(record, now);
        }
        if (record.suspectSince && now - *record.suspectSince >= timeout
            && this->table.applyUpdate(record, MemberState::Dead, record.member.incarnation, now)) {
            this->spread(record);
        }
    }
}

void Membership::State::suspect(MemberRecord &record, TimePoint now)
{
    if (this->table.applyUpdate(record, MemberState::Suspect, record.member.incarnation, now)) {
        this->spread(record);
    }
}

//! Tells suspects at once and again, so that they can refute in time although datagrams get lost.
void Membership::State::probeSuspects(TimePoint now)
{
    std::vector<VmName> suspects;
    for (const auto &[name, record] : this->table.all()) {
        if (record.suspectSince && record.hasAddress) {
            suspects.push_back(name);
        }
    }
    this->probes.shuffle(suspects);
    suspects.resize(std::min(suspects.size(), kSuspectsProbedAtOnce));
    for (const VmName &name : suspects) {
        this->probe(name, {.target = name, .sentAt = now});
    }
}

void Membership::State::settlePending()
{
    std::erase_if(this->pendingNames, [this](const VmName &name) {
        MemberRecord *record = this->table.find(name);
        if (record != nullptr && record->pending) {
            this->settle(*record);
        }
        return record == nullptr || !record->pending;
    });
}

void Membership::State::settle(MemberRecord &record)
{
    const MemberRecord::PendingAnswer &pending = *record.pending;
    if (this->own().member.documentRevision < pending.documentRevision) {
        return;
    }
    if (this->extension != nullptr && !this->extension->isCaughtUpWith(record.member.name)) {
        return;
    }
    this->confirm(record, pending.sentAt);
    for (const ConfirmationAges::Entry &entry : ConfirmationAges::unpack(pending.confirmations)) {
        MemberRecord *other = this->table.findByHash(entry.vmHash);
        if (other == nullptr || other->member.name == this->table.self()) {
            continue;
        }
        const TimePoint at = pending.sentAt - entry.age;
        this->confirm(*other, at);
    }
    record.pending.reset();
}

void Membership::State::confirm(MemberRecord &record, TimePoint at)
{
    record.member.lastHeard = std::max(record.member.lastHeard, at);
    if (at >= this->wokenAt) {
        record.confirmedAt = std::max(record.confirmedAt.value_or(at), at);
    }
}
}
