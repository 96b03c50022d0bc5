#include "membership/internal/membershipstate.h"

#include "global/iclock.h"
#include "membership/internal/confirmationages.h"
#include "membership/internal/messagecodec.h"
#include "membership/internal/vmlistsample.h"
#include "membership/membershipbounds.h"
#include "telemetry/itimeline.h"

#include <algorithm>
#include <bit>

namespace radishladder::membership {
namespace {
constexpr std::size_t kUpdateBytes = 240;
constexpr std::size_t kExtensionBytes = 850;
constexpr std::size_t kConfirmationsInAnswer = 24;
constexpr std::size_t kIndirectProbes = 2;
constexpr std::size_t kSampleEntries = 3;
constexpr int kSpreadFactor = 3;

bool mayHelp(const MemberRecord &record)
{
    return record.hasAddress && record.member.state == MemberState::Alive;
}
}

int Membership::State::spreadTimes() const
{
    return kSpreadFactor * static_cast<int>(std::bit_width(this->table.all().size()));
}

Heartbeat Membership::State::ownHeartbeat(const VmName &to, std::uint64_t sequence, bool isAnswer)
{
    const MemberRecord &self = this->own();
    const telemetry::HybridTime stamp = this->timeLine.stamp();
    Heartbeat heartbeat{.sequence = sequence,
                        .start = self.member.start,
                        .refutations = self.member.incarnation - self.member.start,
                        .state = static_cast<std::uint8_t>(self.member.state),
                        .generation = self.member.generation,
                        .documentRevision = self.member.documentRevision,
                        .newestDocument = self.member.newestDocument,
                        .vmListRevision = self.member.vmListRevision,
                        .wallUs = stamp.wall.time_since_epoch().count(),
                        .wallCounter = stamp.counter};
    heartbeat.updates = this->updates.take(kUpdateBytes);
    const MemberRecord *receiver = this->table.find(to);
    if (receiver != nullptr && receiver->member.start != 0
        && receiver->member.state != MemberState::Alive) {
        // Whoever is thought suspect or dead must hear of it to refute it.
        heartbeat.updates.push_back({to.str(), static_cast<std::uint8_t>(receiver->member.state),
                                     receiver->member.incarnation});
    }
    if (isAnswer) {
        heartbeat.confirmations = this->packConfirmations();
    }
    if (this->extension != nullptr) {
        heartbeat.extension = this->extension->attachment(to, isAnswer, kExtensionBytes);
    }
    return heartbeat;
}

std::vector<std::uint8_t> Membership::State::packConfirmations()
{
    const TimePoint now = this->clock.now();
    std::vector<ConfirmationAges::Entry> fresh;
    for (const auto &[name, record] : this->table.all()) {
        if (!record.confirmedAt) {
            continue;
        }
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - *record.confirmedAt);
        if (age
            <= std::min(freshnessBound(this->table.countedVms()), ConfirmationAges::kLargestAge)) {
            fresh.push_back({record.hash, age});
        }
    }
    // Youngest first: they last longest where they arrive.
    const std::size_t kept = std::min(fresh.size(), kConfirmationsInAnswer);
    std::ranges::partial_sort(fresh, fresh.begin() + static_cast<std::ptrdiff_t>(kept), {},
                              &ConfirmationAges::Entry::age);
    fresh.resize(kept);
    return ConfirmationAges::pack(fresh);
}

void Membership::State::send(const VmName &to, MessageKind kind, const Heartbeat &heartbeat)
{
    this->transport.send(to, kind, encodeMessage(heartbeat));
}

void Membership::State::probe(const VmName &target, ProbeList::Probe probe)
{
    const std::uint64_t sequence = this->probes.add(std::move(probe));
    this->send(target, MessageKind::Heartbeat, this->ownHeartbeat(target, sequence, false));
}

void Membership::State::probeNext(TimePoint now)
{
    std::vector<VmName> candidates;
    for (const auto &[name, record] : this->table.all()) {
        if (record.hasAddress) {
            candidates.push_back(name);
        }
    }
    const VmName target = this->probes.next(candidates);
    if (target.isEmpty()) {
        return;
    }
    this->probe(target, {.target = target, .sentAt = now});
    const MemberRecord &record = *this->table.find(target);
    if (record.member.state == MemberState::Dead || record.member.vmListRevision == 0) {
        this->sendListSample(target);
    }
}

void Membership::State::probeThroughOthers(std::uint64_t sequence, const VmName &target)
{
    std::vector<VmName> helpers;
    for (const auto &[name, record] : this->table.all()) {
        if (name != target && mayHelp(record)) {
            helpers.push_back(name);
        }
    }
    this->probes.shuffle(helpers);
    helpers.resize(std::min(helpers.size(), kIndirectProbes));
    for (const VmName &helper : helpers) {
        Heartbeat request = this->ownHeartbeat(helper, sequence, false);
        request.probed = target.str();
        this->send(helper, MessageKind::Heartbeat, request);
    }
}

void Membership::State::sendListSample(const VmName &to)
{
    if (this->own().member.vmListRevision == 0) {
        return;
    }
    // This VM first, so that the receiver can answer it; then any others.
    std::vector<VmName> names;
    for (const auto &[name, record] : this->table.all()) {
        if (record.isListed && name != to && name != this->table.self()) {
            names.push_back(name);
        }
    }
    this->probes.shuffle(names);
    names.insert(names.begin(), this->table.self());
    names.resize(std::min(names.size(), kSampleEntries));
    VmListSample sample;
    for (const VmName &name : names) {
        const Member &member = this->table.find(name)->member;
        sample.entries.push_back(sampleEntry({.name = member.name,
                                              .dataCentre = member.dataCentre,
                                              .data = member.data,
                                              .peer = member.peer,
                                              .requests = member.requests,
                                              .admin = member.admin}));
    }
    this->transport.send(to, MessageKind::VmListSample, encodeMessage(sample));
}

void Membership::State::spread(const MemberRecord &record)
{
    this->updates.add({record.member.name.str(), static_cast<std::uint8_t>(record.member.state),
                       record.member.incarnation},
                      this->spreadTimes());
}
}
