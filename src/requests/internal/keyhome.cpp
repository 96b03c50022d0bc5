#include "requests/internal/keyhome.h"

#include "global/hash.h"
#include "membership/imembership.h"
#include "membership/ipeertransport.h"
#include "requests/internal/keymessages.h"

#include <algorithm>

namespace radishladder::requests {
namespace {
using membership::MessageKind;

constexpr std::size_t kKeepers = 2;
constexpr std::size_t kLargestKeptAnswerBytes = 256;
constexpr std::chrono::milliseconds kClaimRepeat{50};

//! A VM that was paused for longer may have missed that others took its keys over.
constexpr std::chrono::milliseconds kLongestPause{2000};
}

std::vector<VmName> keepersOf(const KeyId &id, const std::vector<VmName> &vms)
{
    std::vector<std::pair<std::uint64_t, VmName>> scored;
    scored.reserve(vms.size());
    for (const VmName &vm : vms) {
        scored.emplace_back(rendezvousScore(id.high, vm.str()), vm);
    }
    const std::size_t count = std::min(scored.size(), kKeepers);
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(count),
                              std::greater());
    std::vector<VmName> keepers;
    keepers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        keepers.push_back(scored[i].second);
    }
    return keepers;
}

KeyHome::KeyHome(membership::IMembership &membership, membership::IPeerTransport &transport,
                 const RequestOptions &options)
    : membership(membership), transport(transport), options(options)
{
    transport.handle(MessageKind::KeyClaim, [this](const VmName &from, auto payload) {
        this->receiveClaim(from, payload);
    });
    transport.handle(MessageKind::KeyReply, [this](const VmName &from, auto payload) {
        this->receiveReply(from, payload);
    });
    transport.handle(MessageKind::KeyRecord, [this](const VmName &from, auto payload) {
        this->receiveRecord(from, payload);
    });
}

VmName KeyHome::homeOf(const KeyId &id) const
{
    if (this->views.empty()) {
        return {};
    }
    const std::vector<VmName> keepers = keepersOf(id, this->views.back().vms);
    return keepers.empty() ? VmName() : keepers.front();
}

void KeyHome::begin(const KeyId &id, std::uint64_t bodyDigest, TimePoint deadline, TimePoint now,
                    Decision decision)
{
    this->currentTime = now;
    const auto found = this->records.find(id);
    if (found != this->records.end()) {
        const Record record = found->second;
        decision(this->verdictFor(record, bodyDigest), record.answer);
        return;
    }
    const bool wasPaused = !this->lastTick || now - *this->lastTick > kLongestPause;
    if (wasPaused || !this->membership.isConfident(now)) {
        decision(KeyVerdict::Unknown, {});
        return;
    }
    if (this->records.size() >= this->options.keyLimit) {
        decision(KeyVerdict::Full, {});
        return;
    }
    Record &record = this->records[id];
    record.state = KeyState::Claiming;
    record.bodyDigest = bodyDigest;
    record.claim = ++this->lastClaim;
    record.claimant = this->membership.self();
    record.deadline = deadline;
    record.forgetAt = deadline + this->options.keySpan;
    const std::vector<VmName> keepers = keepersOf(id, this->views.back().vms);
    Claim &claim = this->claims[id];
    claim = {record.claim, {}, now, now, std::move(decision)};
    if (keepers.size() < kKeepers) {
        this->settle(id, this->knowsAll(id) ? KeyVerdict::Run : KeyVerdict::Unknown, {});
        return;
    }
    claim.second = keepers[1];
    this->sendClaim(id, claim);
}

void KeyHome::sendClaim(const KeyId &id, Claim &claim)
{
    const Record &record = this->records[id];
    const auto timeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(record.deadline - this->currentTime);
    this->transport.send(claim.second, MessageKind::KeyClaim,
                         encodeKeyMessage({.id = id,
                                           .claim = claim.number,
                                           .bodyDigest = record.bodyDigest,
                                           .timeLeft = timeLeft}));
}

void KeyHome::settle(const KeyId &id, KeyVerdict verdict, const net::HttpAnswer &answer)
{
    const Decision decision = std::move(this->claims[id].decision);
    this->claims.erase(id);
    if (verdict == KeyVerdict::Run) {
        this->records[id].state = KeyState::Running;
    } else {
        this->records.erase(id);
    }
    decision(verdict, answer);
}

KeyVerdict KeyHome::verdictFor(const Record &record, std::uint64_t bodyDigest) const
{
    if (record.bodyDigest != bodyDigest) {
        return KeyVerdict::Reused;
    }
    const bool isOver = this->currentTime >= record.deadline;
    switch (record.state) {
    case KeyState::Claiming:
    case KeyState::Running:
        // Only the claimant knows whether the run still goes on after its deadline.
        return isOver && record.claimant != this->membership.self() ? KeyVerdict::Unknown
                                                                    : KeyVerdict::InProgress;
    case KeyState::Answered:
        return record.hasAnswer ? KeyVerdict::Answered : KeyVerdict::Unknown;
    case KeyState::Unknown:
    case KeyState::NotRun:
        break;
    }
    return KeyVerdict::Unknown;
}

void KeyHome::receiveClaim(const VmName &from, std::span<const std::uint8_t> payload)
{
    const std::optional<KeyMessage> message = decodeKeyMessage(payload);
    if (!message) {
        return;
    }
    Record offered;
    offered.bodyDigest = message->bodyDigest;
    offered.claim = message->claim;
    offered.claimant = from;
    offered.deadline = this->currentTime + message->timeLeft;
    offered.forgetAt = offered.deadline + this->options.keySpan;
    const KeyVerdict verdict = this->acceptClaim(from, message->id, offered);
    KeyMessage reply{.id = message->id,
                     .claim = message->claim,
                     .state = static_cast<std::uint8_t>(verdict),
                     .knowsAll = this->knowsAll(message->id)};
    if (verdict == KeyVerdict::Answered) {
        reply.hasAnswer = true;
        reply.answer = this->records[message->id].answer;
    }
    this->transport.send(from, MessageKind::KeyReply, encodeKeyMessage(reply));
}

KeyVerdict KeyHome::acceptClaim(const VmName &from, const KeyId &id, const Record &offered)
{
    const auto found = this->records.find(id);
    if (found != this->records.end()) {
        const Record &record = found->second;
        const bool isRepeat = record.claimant == from && record.claim == offered.claim;
        return isRepeat && record.state == KeyState::Running
            ? KeyVerdict::Run
            : this->verdictFor(record, offered.bodyDigest);
    }
    // Two VMs with different views could otherwise both find a second VM for the same key.
    if (this->homeOf(id) != from) {
        return KeyVerdict::NotRun;
    }
    if (this->records.size() >= this->options.keyLimit) {
        return KeyVerdict::Full;
    }
    this->records[id] = offered;
    return KeyVerdict::Run;
}

void KeyHome::receiveReply(const VmName &from, std::span<const std::uint8_t> payload)
{
    const std::optional<KeyMessage> message = decodeKeyMessage(payload);
    if (!message || message->state > static_cast<std::uint8_t>(KeyVerdict::Full)) {
        return;
    }
    const auto found = this->claims.find(message->id);
    if (found == this->claims.end() || found->second.number != message->claim
        || found->second.second != from) {
        return;
    }
    KeyVerdict verdict = static_cast<KeyVerdict>(message->state);
    if (verdict == KeyVerdict::Run && !message->knowsAll && !this->knowsAll(message->id)) {
        verdict = KeyVerdict::Unknown;
    }
    this->settle(message->id, verdict, message->answer);
}

void KeyHome::finish(const KeyId &id, KeyState state, const net::HttpAnswer &answer, TimePoint now)
{
    this->currentTime = now;
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        return;
    }
    Record &record = found->second;
    record.state = state;
    record.forgetAt = now + this->options.keySpan;
    record.hasAnswer = state == KeyState::Answered;
    record.answer = answer;
    KeyMessage message{.id = id,
                       .claim = record.claim,
                       .bodyDigest = record.bodyDigest,
                       .state = static_cast<std::uint8_t>(state)};
    if (record.hasAnswer && answer.body.size() <= kLargestKeptAnswerBytes) {
        message.hasAnswer = true;
        message.answer = answer;
    }
    for (const VmName &keeper : keepersOf(id, this->views.back().vms)) {
        if (keeper != this->membership.self()) {
            this->transport.send(keeper, MessageKind::KeyRecord, encodeKeyMessage(message));
        }
    }
    if (state == KeyState::NotRun) {
        this->records.erase(found);
    }
}

void KeyHome::receiveRecord(const VmName &from, std::span<const std::uint8_t> payload)
{
    const std::optional<KeyMessage> message = decodeKeyMessage(payload);
    if (!message || message->state > static_cast<std::uint8_t>(KeyState::NotRun)) {
        return;
    }
    const auto found = this->records.find(message->id);
    const bool isOurs = found != this->records.end() && found->second.claimant == from
        && found->second.claim == message->claim;
    if (!isOurs) {
        return;
    }
    Record &record = found->second;
    record.state = static_cast<KeyState>(message->state);
    record.forgetAt = this->currentTime + this->options.keySpan;
    record.hasAnswer = message->hasAnswer;
    record.answer = message->answer;
    if (record.state == KeyState::NotRun) {
        this->records.erase(found);
    }
}

bool KeyHome::knowsAll(const KeyId &id) const
{
    if (!this->lastTick || this->currentTime - *this->lastTick > kLongestPause
        || !this->membership.isConfident(this->currentTime)) {
        return false;
    }
    // Every VM pair that decided within the span must have included this VM.
    const bool hasSeenSpan = !this->views.empty()
        && this->views.front().since + this->options.keySpan <= this->currentTime;
    return hasSeenSpan && std::ranges::all_of(this->views, [&](const View &view) {
               const std::vector<VmName> keepers = keepersOf(id, view.vms);
               return std::ranges::find(keepers, this->membership.self()) != keepers.end();
           });
}

void KeyHome::tick(TimePoint now)
{
    const bool wasPaused = this->lastTick && now - *this->lastTick > kLongestPause;
    if (wasPaused) {
        this->views.clear();
    }
    this->lastTick = now;
    this->currentTime = now;
    this->followMembers(now);
    this->repeatClaims(now);
    this->forget(now);
}

void KeyHome::followMembers(TimePoint now)
{
    std::vector<VmName> vms;
    for (const membership::Member &member : this->membership.members()) {
        if (member.state == membership::MemberState::Alive
            || member.state == membership::MemberState::Suspect) {
            vms.push_back(member.name);
        }
    }
    if (!this->views.empty() && this->views.back().vms == vms) {
        return;
    }
    if (!this->views.empty()) {
        this->views.back().until = now;
    }
    this->views.push_back({std::move(vms), now});
}

void KeyHome::repeatClaims(TimePoint now)
{
    std::vector<KeyId> late;
    for (auto &[id, claim] : this->claims) {
        const std::vector<VmName> keepers = keepersOf(id, this->views.back().vms);
        const bool isStillSecond = keepers.size() == kKeepers
            && keepers.front() == this->membership.self() && keepers[1] == claim.second;
        if (!isStillSecond || now - claim.startedAt >= this->options.claimTimeout) {
            late.push_back(id);
        } else if (now - claim.sentAt >= kClaimRepeat) {
            claim.sentAt = now;
            this->sendClaim(id, claim);
        }
    }
    // Nothing was sent to an upstream, so the second VM may forget the claim.
    for (const KeyId &id : late) {
        const Claim &claim = this->claims[id];
        this->transport.send(
            claim.second, MessageKind::KeyRecord,
            encodeKeyMessage({.id = id,
                              .claim = claim.number,
                              .state = static_cast<std::uint8_t>(KeyState::NotRun)}));
        this->settle(id, KeyVerdict::NotRun, {});
    }
}

void KeyHome::forget(TimePoint now)
{
    std::erase_if(this->records, [&](const auto &item) {
        const Record &record = item.second;
        const bool isOwnRun = record.claimant == this->membership.self()
            && (record.state == KeyState::Running || record.state == KeyState::Claiming);
        return !isOwnRun && record.forgetAt <= now;
    });
    // The present view has no end; adding the span to it would overflow.
    std::erase_if(this->views, [&](const View &view) {
        return view.until != TimePoint::max() && view.until + this->options.keySpan <= now;
    });
}
}
