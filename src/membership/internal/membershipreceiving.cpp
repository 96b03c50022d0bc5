#include "membership/internal/membershipstate.h"

#include "global/iclock.h"
#include "membership/internal/messagecodec.h"
#include "membership/internal/vmlistsample.h"
#include "telemetry/icounter.h"
#include "telemetry/itimeline.h"

#include <algorithm>

namespace radishladder::membership {
std::optional<Heartbeat> Membership::State::receive(const VmName &from,
                                                    std::span<const std::uint8_t> bytes)
{
    auto heartbeat = decodeMessage<Heartbeat>(bytes);
    if (!heartbeat || heartbeat->state > static_cast<std::uint8_t>(MemberState::Dead)) {
        this->malformed.add();
        return std::nullopt;
    }
    if (!this->noteSender(from, *heartbeat)) {
        return std::nullopt;
    }
    const std::chrono::microseconds wall(heartbeat->wallUs);
    this->timeLine.observe(
        {std::chrono::sys_time<std::chrono::microseconds>(wall), heartbeat->wallCounter});
    for (const StateUpdate &update : heartbeat->updates) {
        this->noteUpdate(update);
    }
    return heartbeat;
}

bool Membership::State::noteSender(const VmName &from, const Heartbeat &heartbeat)
{
    const TimePoint now = this->clock.now();
    if (from == this->table.self()) {
        return false;
    }
    MemberRecord &record = this->table.findOrAdd(from, now);
    if (heartbeat.start < record.member.start) {
        return false;
    }
    Member &member = record.member;
    if (heartbeat.start > record.member.start) {
        // Another process under the same name: nothing that the old one reported holds.
        record.member.start = heartbeat.start;
        record.confirmedAt.reset();
        record.pending.reset();
        record.documents.clear();
        member.generation = 0;
        member.documentRevision = 0;
        member.newestDocument = 0;
        member.vmListRevision = 0;
    }
    member.lastHeard = now;
    member.generation = std::max(member.generation, heartbeat.generation);
    member.documentRevision = std::max(member.documentRevision, heartbeat.documentRevision);
    member.newestDocument = std::max(member.newestDocument, heartbeat.newestDocument);
    member.vmListRevision = std::max(member.vmListRevision, heartbeat.vmListRevision);
    record.documents.note(member.documentRevision, now);
    const auto state = static_cast<MemberState>(heartbeat.state);
    if (this->table.applyUpdate(record, state, heartbeat.start + heartbeat.refutations, now)) {
        this->spread(record);
    }
    return true;
}

void Membership::State::noteUpdate(const StateUpdate &update)
{
    if (update.state > static_cast<std::uint8_t>(MemberState::Dead) || update.vm.empty()) {
        this->malformed.add();
        return;
    }
    const auto state = static_cast<MemberState>(update.state);
    const VmName name(update.vm);
    if (name == this->table.self()) {
        const bool isWrong = state == MemberState::Suspect || state == MemberState::Dead;
        const std::uint64_t known = this->own().member.incarnation;
        if (update.incarnation > known || (update.incarnation == known && isWrong)) {
            this->refute(update.incarnation);
        }
        return;
    }
    MemberRecord *record = this->table.find(name);
    if (record == nullptr && state == MemberState::Dead) {
        return;
    }
    const TimePoint now = this->clock.now();
    if (record == nullptr) {
        record = &this->table.findOrAdd(name, now);
    }
    if (this->table.applyUpdate(*record, state, update.incarnation, now)) {
        this->spread(*record);
    }
}

void Membership::State::refute(std::uint64_t incarnation)
{
    MemberRecord &self = this->own();
    self.member.incarnation = incarnation + 1;
    this->spread(self);
}

void Membership::State::receiveHeartbeat(const VmName &from, std::span<const std::uint8_t> bytes)
{
    const auto heartbeat = this->receive(from, bytes);
    if (!heartbeat) {
        return;
    }
    if (this->extension != nullptr) {
        this->extension->receive(from, false, heartbeat->extension);
    }
    if (!heartbeat->probed.empty()) {
        const VmName target(heartbeat->probed);
        this->probe(target,
                    {.target = target,
                     .sentAt = this->clock.now(),
                     .askedBy = from,
                     .askedSequence = heartbeat->sequence});
        return;
    }
    this->send(from, MessageKind::HeartbeatReply,
               this->ownHeartbeat(from, heartbeat->sequence, true));
}

void Membership::State::receiveAnswer(const VmName &from, std::span<const std::uint8_t> bytes)
{
    const auto answer = this->receive(from, bytes);
    if (!answer) {
        return;
    }
    const auto found = this->probes.probes().find(answer->sequence);
    if (found == this->probes.probes().end()) {
        return;
    }
    const ProbeList::Probe probe = found->second;
    const VmName answered = answer->probed.empty() ? from : VmName(answer->probed);
    MemberRecord *record = this->table.find(answered);
    if (answered != probe.target || record == nullptr) {
        return;
    }
    this->probes.probes().erase(found);
    record->member.lastHeard = std::max(record->member.lastHeard, probe.sentAt);
    if (!probe.askedBy.isEmpty()) {
        Heartbeat relayed = this->ownHeartbeat(probe.askedBy, probe.askedSequence, true);
        relayed.probed = answered.str();
        this->send(probe.askedBy, MessageKind::HeartbeatReply, relayed);
    }
    if (answered != from) {
        return;
    }
    if (this->extension != nullptr) {
        this->extension->receive(from, true, answer->extension);
    }
    record->pending =
        MemberRecord::PendingAnswer{probe.sentAt, answer->documentRevision, answer->confirmations};
    this->pendingNames.insert(from);
    this->settle(*record);
}

void Membership::State::receiveListSample(std::span<const std::uint8_t> bytes)
{
    const auto sample = decodeMessage<VmListSample>(bytes);
    if (!sample) {
        this->malformed.add();
        return;
    }
    if (this->own().member.vmListRevision != 0) {
        return;
    }
    for (const VmListSample::Entry &entry : sample->entries) {
        if (!entry.name.empty()) {
            this->table.addHint(listedVm(entry), this->clock.now());
        }
    }
    this->passAddresses();
}
}
