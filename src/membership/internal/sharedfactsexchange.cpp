#include "membership/sharedfacts.h"

#include "global/iclock.h"
#include "membership/internal/messagecodec.h"
#include "membership/internal/sharedfactsstate.h"
#include "membership/types/member.h"
#include "telemetry/icounter.h"

#include <algorithm>

namespace radishladder::membership {
namespace {
constexpr std::size_t kDigestsInMessage = 48;
constexpr std::size_t kMessageOverheadBytes = 32;
constexpr std::chrono::milliseconds kRepeatInterval{300};
constexpr double kPushBytesPerSecond = 150;
constexpr double kPushBurstBytes = 2000;
constexpr double kRumourBytesPerSecond = 300;
constexpr double kRumourBurstBytes = 2000;

//! Up to this size every VM tells its own facts to each other one; beyond it others pass them on.
constexpr std::size_t kSmallFleet = 16;

//! Starts are compared within half the range of their low bits, about 24 days.
bool isLaterStart(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

bool isReachable(const Member &member)
{
    return member.state != MemberState::Dead;
}
}

std::vector<std::uint8_t> SharedFacts::attachment(const VmName &to, bool isAnswer,
                                                  std::size_t maxBytes)
{
    FactsMessage message = this->state->message(to);
    if (isAnswer && this->state->peer(to).differs) {
        message.digests = packDigests(this->state->digests(message.isDigestWhole));
    }
    const bool isSmall = this->state->membership.vmCount() <= kSmallFleet;
    const std::size_t room = maxBytes - std::min(maxBytes, message.digests.size());
    message.deltas = isSmall ? this->state->ownDelta(to, room) : this->state->takeRumours(room);
    return encodeMessage(message);
}

void SharedFacts::receive(const VmName &from, bool isAnswer, std::span<const std::uint8_t> bytes)
{
    const auto message = this->state->decode(from, bytes);
    if (!message) {
        return;
    }
    State::Peer &peer = this->state->peer(from);
    peer.differs = message->summary != this->state->summary;
    if (!isAnswer) {
        return;
    }
    peer.isCaughtUp = !peer.differs;
    peer.target = unpackDigests(message->digests);
    peer.isTargetWhole = message->isDigestWhole;
    // While facts change all the time views always differ a little; most of it comes by itself.
    if (peer.differs && this->state->rumourBytes > 0) {
        this->state->reconcile(from, unpackDigests(message->digests), message->isDigestWhole);
    }
}

std::optional<FactsMessage> SharedFacts::State::decode(const VmName &from,
                                                       std::span<const std::uint8_t> bytes)
{
    auto message = decodeMessage<FactsMessage>(bytes);
    if (!message) {
        this->malformed.add();
        return std::nullopt;
    }
    for (const FactDelta &delta : message->deltas) {
        this->apply(delta);
    }
    const FactLog &log = this->own();
    const bool isForThisProcess =
        message->acknowledgedStart == static_cast<std::uint32_t>(log.startOfProcess());
    if (isForThisProcess && message->acknowledgedVersion <= log.knownUpTo()) {
        Peer &peer = this->peer(from);
        peer.acknowledgedVersion = std::max(peer.acknowledgedVersion, message->acknowledgedVersion);
        peer.acknowledged.note(static_cast<std::int64_t>(peer.acknowledgedVersion),
                               this->clock.now());
    }
    return message;
}

void SharedFacts::State::apply(const FactDelta &delta)
{
    const VmName origin(delta.origin);
    if (origin == this->membership.self() || this->membership.find(origin) == nullptr) {
        return;
    }
    FactLog &log = this->logs[origin];
    if (delta.start < log.startOfProcess()) {
        return;
    }
    const auto changed = [this, &origin](const std::string &key,
                                         const std::optional<Value> &value) {
        this->notify(origin, key, value);
    };
    this->toggleSummary(origin, log);
    if (delta.start > log.startOfProcess()) {
        const FactLog old = std::exchange(log, FactLog(delta.start, 0));
        for (const auto &[key, entry] : old.entries()) {
            if (entry.isPresent) {
                changed(key, std::nullopt);
            }
        }
    }
    const std::uint64_t before = log.knownUpTo();
    const bool isApplied = log.apply(delta, changed);
    this->toggleSummary(origin, log);
    if (isApplied) {
        this->startRumour(origin, before);
    }
}

void SharedFacts::State::receiveFacts(const VmName &from, std::span<const std::uint8_t> bytes)
{
    const auto request = this->decode(from, bytes);
    if (!request) {
        return;
    }
    FactsMessage answer = this->message(from);
    std::size_t room = this->transport.maxPayloadBytes() - kMessageOverheadBytes;
    const bool mayRepair = this->rumourBytes > 0;
    for (const FactDigest &theirs :
         mayRepair ? unpackDigests(request->digests) : std::vector<FactDigest>()) {
        const VmName *origin = this->originOf(theirs);
        const auto log = origin == nullptr ? this->logs.end() : this->logs.find(*origin);
        if (log != this->logs.end()) {
            const bool isSame = theirs.start == this->digestOf(log->first, log->second).start;
            this->addDelta(answer, room, log->first, isSame ? theirs.version : 0);
        }
    }
    if (request->wantsAnswer || !answer.deltas.empty()) {
        const std::size_t bytes = this->send(from, answer);
        this->rumourBytes -= answer.deltas.empty() ? 0 : static_cast<double>(bytes);
    }
}

//! Asks \a with for what is missing here and sends what is missing there.
void SharedFacts::State::reconcile(const VmName &with, const std::vector<FactDigest> &theirs,
                                   bool isWhole)
{
    FactsMessage message = this->message(with);
    std::size_t room = this->transport.maxPayloadBytes() - kMessageOverheadBytes;
    std::map<VmName, FactDigest> byOrigin;
    std::vector<FactDigest> wanted;
    for (const FactDigest &digest : theirs) {
        const VmName *origin = this->originOf(digest);
        if (origin == nullptr) {
            continue;
        }
        byOrigin[*origin] = digest;
        if (!this->covers(digest)) {
            wanted.push_back(this->digestOf(*origin, this->logs[*origin]));
        }
    }
    message.digests = packDigests(wanted);
    room -= std::min(room, message.digests.size());
    for (const auto &[origin, log] : this->logs) {
        const auto known = byOrigin.find(origin);
        const std::uint32_t start = this->digestOf(origin, log).start;
        // Only a whole digest tells that an origin is unknown there.
        const bool isUnknown = known == byOrigin.end();
        if (isUnknown ? !isWhole : isLaterStart(known->second.start, start)) {
            continue;
        }
        const bool isSameProcess = !isUnknown && known->second.start == start;
        this->addDelta(message, room, origin, isSameProcess ? known->second.version : 0);
    }
    if (!message.digests.empty() || !message.deltas.empty()) {
        this->rumourBytes -= static_cast<double>(this->send(with, message));
    }
}

bool SharedFacts::State::covers(const FactDigest &digest) const
{
    const VmName *origin = this->originOf(digest);
    if (origin == nullptr) {
        return true;
    }
    const auto log = this->logs.find(*origin);
    if (log == this->logs.end()) {
        return false;
    }
    const FactDigest own = this->digestOf(*origin, log->second);
    return own.start != digest.start ? isLaterStart(own.start, digest.start)
                                     : own.version >= digest.version;
}

FactsMessage SharedFacts::State::message(const VmName &to)
{
    FactsMessage message{.summary = this->summary};
    const auto log = this->logs.find(to);
    if (log != this->logs.end()) {
        message.acknowledgedStart = static_cast<std::uint32_t>(log->second.startOfProcess());
        message.acknowledgedVersion = log->second.knownUpTo();
    }
    return message;
}

//! What \a to has not acknowledged of this VM's own facts, unless it was sent just now.
std::vector<FactDelta> SharedFacts::State::ownDelta(const VmName &to, std::size_t maxBytes)
{
    Peer &peer = this->peer(to);
    const TimePoint now = this->clock.now();
    const bool isJustSent = peer.pushedAt && now - *peer.pushedAt < kRepeatInterval;
    if (peer.acknowledgedVersion >= this->own().knownUpTo() || isJustSent) {
        return {};
    }
    peer.pushedAt = now;
    FactsMessage message;
    std::size_t room = maxBytes - std::min(maxBytes, kMessageOverheadBytes);
    this->addDelta(message, room, this->membership.self(), peer.acknowledgedVersion);
    return message.deltas;
}

std::vector<FactDelta> SharedFacts::State::takeRumours(std::size_t maxBytes)
{
    std::vector<std::pair<VmName, Rumour *>> order;
    for (auto &[origin, rumour] : this->rumours) {
        order.emplace_back(origin, &rumour);
    }
    std::ranges::stable_sort(order, [](const auto &left, const auto &right) {
        return left.second->remaining > right.second->remaining;
    });
    FactsMessage message;
    const std::size_t allowed =
        std::min(maxBytes, static_cast<std::size_t>(std::max(0.0, this->rumourBytes)));
    const std::size_t start = allowed - std::min(allowed, kMessageOverheadBytes);
    std::size_t room = start;
    for (auto &[origin, rumour] : order) {
        const std::size_t before = message.deltas.size();
        this->addDelta(message, room, origin, rumour->after);
        if (message.deltas.size() == before) {
            // It does not fit beside the fresher ones; digests repair it if it never does.
            continue;
        }
        --rumour->remaining;
    }
    this->rumourBytes -= static_cast<double>(start - room);
    std::erase_if(this->rumours, [](const auto &item) { return item.second.remaining <= 0; });
    return message.deltas;
}

std::vector<FactDigest> SharedFacts::State::digests(bool &isWhole)
{
    std::vector<FactDigest> digests;
    for (const auto &[origin, log] : this->logs) {
        digests.push_back(this->digestOf(origin, log));
    }
    isWhole = digests.size() <= kDigestsInMessage;
    if (!isWhole) {
        // A large fleet is compared in turns.
        this->nextDigest %= digests.size();
        std::rotate(digests.begin(),
                    digests.begin() + static_cast<std::ptrdiff_t>(this->nextDigest), digests.end());
        digests.resize(kDigestsInMessage);
        this->nextDigest += kDigestsInMessage;
    }
    return digests;
}

void SharedFacts::State::addDelta(FactsMessage &message, std::size_t &room, const VmName &origin,
                                  std::uint64_t after) const
{
    const auto log = this->logs.find(origin);
    if (log == this->logs.end()) {
        return;
    }
    FactDelta delta = log->second.deltaAfter(origin.str(), after, room);
    if (delta.upTo <= after) {
        return;
    }
    const std::size_t bytes = encodeMessage(delta).size();
    if (bytes > room) {
        return;
    }
    room -= bytes;
    message.deltas.push_back(std::move(delta));
}

std::size_t SharedFacts::State::send(const VmName &to, const FactsMessage &message)
{
    const auto bytes = encodeMessage(message);
    this->transport.send(to, MessageKind::Facts, bytes);
    return bytes.size();
}

void SharedFacts::State::push(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - this->lastTick.value_or(now);
    this->pushBytes =
        std::min(kPushBurstBytes, this->pushBytes + elapsed.count() * kPushBytesPerSecond);
    this->rumourBytes =
        std::min(kRumourBurstBytes, this->rumourBytes + elapsed.count() * kRumourBytesPerSecond);
    if (!this->isPushPending || this->pushBytes <= 0) {
        return;
    }
    this->isPushPending = false;
    const FactLog &log = this->own();
    for (const Member &member : this->membership.members()) {
        if (member.name == this->membership.self() || !isReachable(member)) {
            continue;
        }
        Peer &peer = this->peer(member.name);
        if (peer.acknowledgedVersion >= log.knownUpTo()) {
            continue;
        }
        this->isPushPending = true;
        const bool isDue = !peer.pushedAt || now - *peer.pushedAt >= kRepeatInterval;
        if (!isDue || this->pushBytes <= 0) {
            continue;
        }
        peer.pushedAt = now;
        FactsMessage message = this->message(member.name);
        message.wantsAnswer = true;
        std::size_t room = this->transport.maxPayloadBytes() - kMessageOverheadBytes;
        this->addDelta(message, room, this->membership.self(), peer.acknowledgedVersion);
        this->pushBytes -= static_cast<double>(this->send(member.name, message));
    }
}
}
