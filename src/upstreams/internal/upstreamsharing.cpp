#include "upstreams/upstreams.h"

#include "membership/isharedfacts.h"
#include "membership/types/member.h"
#include "telemetry/itimeline.h"
#include "upstreams/internal/digestcodec.h"
#include "upstreams/internal/upstreamsstate.h"

#include <algorithm>

namespace radishladder::upstreams {
namespace {
constexpr std::string_view kDigestKeyPrefix = "w/";
constexpr const char *kSharesKey = "shares";
constexpr std::size_t kProbersPerUpstream = 2;

std::vector<std::uint8_t> digestBytes(std::uint64_t digest)
{
    std::vector<std::uint8_t> bytes(sizeof digest);
    for (std::uint8_t &byte : bytes) {
        byte = static_cast<std::uint8_t>(digest);
        digest >>= 8;
    }
    return bytes;
}

//! Stated instead of a list by a VM that uses no slot any more and will not again.
constexpr std::uint64_t kNothingHeld = 0;

bool mayHoldDuties(const membership::Member &member)
{
    return member.state == membership::MemberState::Alive
        || member.state == membership::MemberState::Suspect;
}
}

std::string digestKey(const UpstreamName &upstream)
{
    return std::string(kDigestKeyPrefix) + upstream.str();
}

void Upstreams::tick(TimePoint now)
{
    // A VM that was paused may have missed changes of the list, so its shares rest anew.
    if (this->parts->lastTick && this->parts->wasPaused(now)) {
        this->parts->ledger.setList({}, now);
    }
    this->parts->lastTick = now;
    this->followMembers(now);
    this->settleShares(now);
    for (auto &[name, entry] : this->parts->entries) {
        const Warmth before = entry.tracker.digest(now).warmth;
        entry.tracker.tick(now);
        entry.hasNews = entry.hasNews || entry.tracker.digest(now).warmth != before;
        this->update(entry, now);
    }
}

void Upstreams::followMembers(TimePoint now)
{
    VmList listed;
    VmList serving;
    for (const membership::Member &member : this->parts->membership.members()) {
        listed.push_back({member.name, member.dataCentre});
        if (this->parts->facts.value(member.name, kSharesKey) == digestBytes(kNothingHeld)) {
            this->parts->ledger.noteReleased(member.name);
        } else {
            this->parts->ledger.forgetReleased(member.name);
        }
        if (mayHoldDuties(member)) {
            serving.push_back({member.name, member.dataCentre});
        }
    }
    this->parts->ledger.setList(std::move(listed), now);
    std::ranges::sort(serving);
    if (serving != this->parts->serving) {
        this->parts->serving = std::move(serving);
        for (auto &[name, entry] : this->parts->entries) {
            this->assignProbers(entry);
        }
    }
}

void Upstreams::announceRelease()
{
    this->parts->released = true;
    this->parts->facts.publish(kSharesKey, digestBytes(kNothingHeld));
}

bool Upstreams::isReleaseKnown(TimePoint now) const
{
    return this->parts->released && this->parts->facts.isKnownByAll(kSharesKey, now);
}

void Upstreams::settleShares(TimePoint now)
{
    if (this->parts->released) {
        return;
    }
    ShareLedger &ledger = this->parts->ledger;
    const std::uint64_t digest = ledger.listDigest();
    if (this->parts->statedList != digest && ledger.mayConfirm(now) && this->isReleased(now)) {
        this->parts->facts.publish(kSharesKey, digestBytes(digest));
        this->parts->statedList = digest;
    }
    const bool isResting = ledger.isResting(now);
    if (isResting != this->parts->wasResting) {
        this->parts->wasResting = isResting;
        this->parts->timeLine.record(
            {.kind = isResting ? "upstreams.shares-resting" : "upstreams.shares-settled"});
    }
    if (!isResting || this->parts->statedList != digest) {
        return;
    }
    bool allConfirmed = true;
    for (const membership::Member &member : this->parts->membership.members()) {
        const auto stated = this->parts->facts.value(member.name, kSharesKey);
        const bool confirmed = member.name == this->parts->membership.self()
            || stated == digestBytes(digest) || stated == digestBytes(kNothingHeld);
        allConfirmed = allConfirmed && confirmed;
        // A VM that lives and has not confirmed may still use what the old list gave it.
        if (!confirmed && mayHoldDuties(member)) {
            ledger.prolongRest(now);
        }
    }
    if (allConfirmed) {
        ledger.confirm();
    }
}

bool Upstreams::isReleased(TimePoint now) const
{
    return std::ranges::all_of(this->parts->entries, [&](const auto &item) {
        const Entry &entry = item.second;
        return entry.running <= this->parts->ledger.share(
                   entry.slotSubject(), entry.upstream.dataCentre, entry.upstream.slots, now)
            || entry.running == 0;
    });
}

void Upstreams::assignProbers(Entry &entry)
{
    const VmName &self = this->parts->membership.self();
    entry.probers = rankedVms(this->parts->serving, entry.slotSubject(), entry.upstream.dataCentre);
    entry.probers.resize(std::min(entry.probers.size(), kProbersPerUpstream));
    const bool isProber = std::ranges::find(entry.probers, self) != entry.probers.end();
    if (entry.isProber && !isProber) {
        entry.tracker.endProbing();
    }
    entry.isProber = isProber;
    for (const VmName &origin : this->parts->facts.origins(digestKey(entry.upstream.name))) {
        const auto value = this->parts->facts.value(origin, digestKey(entry.upstream.name));
        if (origin != self && value) {
            this->learnDigest(entry, origin, *value);
        }
    }
}

void Upstreams::learnFact(const VmName &origin, const std::string &key,
                          const std::optional<std::vector<std::uint8_t>> &value)
{
    if (origin == this->parts->membership.self() || !key.starts_with(kDigestKeyPrefix)) {
        return;
    }
    Entry *entry = this->find(UpstreamName(key.substr(kDigestKeyPrefix.size())));
    if (entry == nullptr) {
        return;
    }
    if (value) {
        this->learnDigest(*entry, origin, *value);
    } else {
        entry->remoteConditions.erase(origin);
    }
    this->update(*entry, this->parts->clock.now());
}

void Upstreams::learnDigest(Entry &entry, const VmName &origin,
                            const std::vector<std::uint8_t> &value)
{
    const std::optional<Digest> digest = decodeDigest(value);
    if (!digest) {
        return;
    }
    const TimePoint now = this->parts->clock.now();
    entry.remoteConditions[origin] = digest->condition;
    entry.tracker.learn(digest->warmth, now);
    const bool isKnownToProber = std::ranges::find(entry.probers, origin) != entry.probers.end()
        && entry.tracker.digest(now).warmth == digest->warmth;
    if (isKnownToProber && !entry.isProber && entry.published) {
        entry.hasNews = false;
        entry.published.reset();
        this->parts->facts.withdraw(digestKey(entry.upstream.name));
    }
}

void Upstreams::update(Entry &entry, TimePoint now)
{
    // Only the present probers count: what a former one said last may be long outdated.
    Condition worst = Condition::Serving;
    for (const VmName &prober : entry.probers) {
        const auto condition = entry.remoteConditions.find(prober);
        if (condition != entry.remoteConditions.end()) {
            worst = std::max(worst, condition->second);
        }
    }
    entry.tracker.setRemoteCondition(worst);
    this->publish(entry, now);
    const UpstreamState state = entry.state(now);
    if (state == entry.lastState) {
        return;
    }
    const UpstreamState before = std::exchange(entry.lastState, state);
    this->parts->timeLine.record(
        {.kind = "upstream.state",
         .service = entry.service,
         .subject = entry.upstream.name.str(),
         .reason = state == UpstreamState::Ready ? ResultCode::Ok : entry.reason(),
         .detail = std::string(upstreamStateName(before)) + " to "
             + std::string(upstreamStateName(state))});
    for (const Subscriber &subscriber : this->parts->subscribers) {
        subscriber(entry.upstream.name, before, state);
    }
}

void Upstreams::publish(Entry &entry, TimePoint now)
{
    if (!entry.isProber && !entry.hasNews) {
        return;
    }
    const Digest digest = entry.tracker.digest(now);
    if (entry.published == digest) {
        return;
    }
    this->parts->facts.publish(digestKey(entry.upstream.name), encodeDigest(digest));
    entry.published = digest;
    entry.hasNews = false;
}
}
