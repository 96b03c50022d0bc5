#include "membership/sharedfacts.h"

#include "global/hash.h"
#include "global/iclock.h"
#include "membership/internal/messagecodec.h"
#include "membership/internal/sharedfactsstate.h"
#include "membership/types/member.h"
#include "telemetry/icounter.h"
#include "telemetry/imetrics.h"

#include <algorithm>
#include <bit>

namespace radishladder::membership {
namespace {
constexpr std::size_t kMaxFactBytes = 512;
constexpr int kSpreadFactor = 3;
}

SharedFacts::State::State(Membership &membership, IPeerTransport &transport, const IClock &clock,
                          telemetry::IMetrics &metrics)
    : membership(membership), transport(transport), clock(clock),
      malformed(metrics.counter("messages_dropped_total", {{"reason", "MessageMalformed"}})),
      tooLarge(metrics.counter("messages_dropped_total", {{"reason", "MessageTooLarge"}}))
{
    // Version 1 holds no fact: it tells the others that those of an earlier process are void.
    const Member &self = *membership.find(membership.self());
    this->logs[self.name] = FactLog(self.start, 1);
    this->toggleSummary(self.name, this->own());
    this->startRumour(self.name, 0);
}

SharedFacts::SharedFacts(Membership &membership, IPeerTransport &transport, const IClock &clock,
                         telemetry::IMetrics &metrics)
    : state(std::make_unique<State>(membership, transport, clock, metrics))
{
    membership.attach(*this);
    transport.handle(MessageKind::Facts, [this](const VmName &from, auto bytes) {
        this->state->receiveFacts(from, bytes);
    });
}

SharedFacts::~SharedFacts() = default;

void SharedFacts::publish(const std::string &key, const Value &value)
{
    if (key.size() + value.size() > kMaxFactBytes) {
        this->state->tooLarge.add();
        return;
    }
    if (this->state->own().value(key) != value) {
        this->state->change(key, value);
    }
}

void SharedFacts::withdraw(const std::string &key)
{
    if (this->state->own().value(key)) {
        this->state->change(key, std::nullopt);
    }
}

bool SharedFacts::isKnownByAll(const std::string &key,
                               std::chrono::steady_clock::time_point now) const
{
    const auto version = this->state->own().versionOf(key);
    if (!version) {
        return false;
    }
    return this->state->membership.isSettled(
        [this, &version](const VmName &name) -> std::optional<State::TimePoint> {
            const Member *member = this->state->membership.find(name);
            const auto peer = this->state->peers.find(name);
            if (member == nullptr || peer == this->state->peers.end()
                || peer->second.start != member->start) {
                return std::nullopt;
            }
            return peer->second.acknowledged.reachedAt(static_cast<std::int64_t>(*version));
        },
        now);
}

std::optional<SharedFacts::Value> SharedFacts::value(const VmName &origin,
                                                     const std::string &key) const
{
    const auto log = this->state->logs.find(origin);
    return log == this->state->logs.end() ? std::nullopt : log->second.value(key);
}

std::vector<VmName> SharedFacts::origins(const std::string &key) const
{
    std::vector<VmName> names;
    for (const auto &[origin, log] : this->state->logs) {
        if (log.value(key)) {
            names.push_back(origin);
        }
    }
    return names;
}

void SharedFacts::subscribe(Subscriber subscriber)
{
    this->state->subscribers.push_back(std::move(subscriber));
}

bool SharedFacts::isCaughtUpWith(const VmName &peer) const
{
    const auto found = this->state->peers.find(peer);
    if (found == this->state->peers.end()) {
        return false;
    }
    const State::Peer &known = found->second;
    return known.isCaughtUp
        || (known.isTargetWhole
            && std::ranges::all_of(known.target, [this](const FactDigest &digest) {
                   return this->state->covers(digest);
               }));
}

void SharedFacts::tick()
{
    const auto now = this->state->clock.now();
    if (this->state->membership.vmCount() != this->state->vmCountSeen) {
        this->state->vmCountSeen = this->state->membership.vmCount();
        this->state->forgetGone();
        this->state->indexNames();
    }
    this->state->push(now);
    this->state->lastTick = now;
}

SharedFacts::State::Peer &SharedFacts::State::peer(const VmName &name)
{
    Peer &peer = this->peers[name];
    const Member *member = this->membership.find(name);
    const std::uint64_t start = member == nullptr ? 0 : member->start;
    if (peer.start != start) {
        // A new process knows nothing of what the old one had acknowledged.
        peer = Peer{};
        peer.start = start;
    }
    return peer;
}

void SharedFacts::State::change(const std::string &key, const std::optional<Value> &value)
{
    const VmName &self = this->membership.self();
    FactLog &log = this->own();
    const std::uint64_t before = log.knownUpTo();
    this->toggleSummary(self, log);
    log.append(key, value);
    this->toggleSummary(self, log);
    this->startRumour(self, before);
    this->isPushPending = true;
    this->notify(self, key, value);
}

void SharedFacts::State::notify(const VmName &origin, const std::string &key,
                                const std::optional<Value> &value)
{
    for (const Subscriber &subscriber : this->subscribers) {
        subscriber(origin, key, value);
    }
}

// The summary is the exclusive-or of a hash for each log: one more call takes a log out again.
void SharedFacts::State::toggleSummary(const VmName &origin, const FactLog &log)
{
    if (log.knownUpTo() != 0) {
        const std::uint64_t seed = hash64(origin.str(), log.startOfProcess());
        this->summary ^= static_cast<std::uint32_t>(hash64(std::to_string(log.knownUpTo()), seed));
    }
}

void SharedFacts::State::startRumour(const VmName &origin, std::uint64_t after)
{
    const auto times = kSpreadFactor * static_cast<int>(std::bit_width(this->membership.vmCount()));
    const auto [rumour, isNew] = this->rumours.try_emplace(origin, Rumour{after, times});
    if (!isNew) {
        rumour->second.after = std::min(rumour->second.after, after);
        rumour->second.remaining = times;
    }
}

void SharedFacts::State::indexNames()
{
    this->namesByHash.clear();
    for (const Member &member : this->membership.members()) {
        const auto hash = static_cast<std::uint32_t>(hash64(member.name.str()));
        const auto [entry, isFirst] = this->namesByHash.try_emplace(hash, member.name);
        if (!isFirst) {
            entry->second = VmName();
        }
    }
}

FactDigest SharedFacts::State::digestOf(const VmName &origin, const FactLog &log) const
{
    return {static_cast<std::uint32_t>(hash64(origin.str())),
            static_cast<std::uint32_t>(log.startOfProcess()),
            static_cast<std::uint32_t>(log.knownUpTo())};
}

const VmName *SharedFacts::State::originOf(const FactDigest &digest) const
{
    const auto name = this->namesByHash.find(digest.originHash);
    const bool isKnown =
        name != this->namesByHash.end() && this->membership.find(name->second) != nullptr;
    return isKnown ? &name->second : nullptr;
}

void SharedFacts::State::forgetGone()
{
    std::vector<VmName> gone;
    for (const auto &[origin, log] : this->logs) {
        if (this->membership.find(origin) == nullptr) {
            gone.push_back(origin);
        }
    }
    for (const VmName &origin : gone) {
        const FactLog log = std::move(this->logs[origin]);
        this->logs.erase(origin);
        this->peers.erase(origin);
        this->rumours.erase(origin);
        this->toggleSummary(origin, log);
        for (const auto &[key, entry] : log.entries()) {
            if (entry.isPresent) {
                this->notify(origin, key, std::nullopt);
            }
        }
    }
}
}
