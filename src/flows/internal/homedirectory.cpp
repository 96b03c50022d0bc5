#include "flows/internal/homedirectory.h"

#include "global/hash.h"
#include "membership/imembership.h"
#include "membership/types/member.h"

#include <algorithm>
#include <utility>

namespace radishladder::flows {
namespace {
constexpr std::size_t kEntryLimit = 65536;
constexpr std::size_t kAskedAtStart = 32;
constexpr std::chrono::seconds kAnswersAfterLoss{30};
}

HomeDirectory::HomeDirectory(const membership::IMembership &membership, const FlowOptions &options)
    : membership(membership), options(options), self(this->idOf(membership.self()))
{ }

PeerId HomeDirectory::idOf(const VmName &name)
{
    const auto [entry, isNew] =
        this->ids.try_emplace(name, static_cast<PeerId>(this->names.size()));
    if (isNew) {
        this->names.push_back(name);
        this->takenOverAt.emplace_back();
    }
    return entry->second;
}

const membership::Member *HomeDirectory::reachable(PeerId peer) const
{
    if (peer == kNoPeer) {
        return nullptr;
    }
    const membership::Member *member = this->membership.find(this->names[peer]);
    const bool dead = member == nullptr || member->state == membership::MemberState::Dead;
    return dead ? nullptr : member;
}

std::vector<VmName> HomeDirectory::others() const
{
    std::vector<VmName> names;
    for (const membership::Member &member : this->membership.members()) {
        if (member.state != membership::MemberState::Dead
            && member.name != this->membership.self()) {
            names.push_back(member.name);
        }
    }
    return names;
}

void HomeDirectory::noteMember(const membership::Member &member, TimePoint now)
{
    const PeerId peer = this->idOf(member.name);
    if (member.state == membership::MemberState::Leaving) {
        this->leavers.insert(peer);
    } else {
        this->leavers.erase(peer);
    }
    this->invalidate(now);
}

void HomeDirectory::invalidate(TimePoint now)
{
    if (this->startedAt == TimePoint{}) {
        this->startedAt = now;
    }
    ++this->version;
    this->changedAt = now;
}

void HomeDirectory::leave(TimePoint now)
{
    this->leaving = true;
    this->invalidate(now);
}

void HomeDirectory::noteTakenOver(PeerId peer, TimePoint now)
{
    this->takenOverAt[peer] = now;
}

std::set<PeerId> HomeDirectory::takeWanted(TimePoint now)
{
    // A VM that has just started asks before it is needed: until the answer, packets in its slots
    // wait.
    if (this->startedAt != TimePoint{} && this->isYoung(now)) {
        for (const VmName &name : this->firstOthers()) {
            const PeerId peer = this->idOf(name);
            this->isTakenOver(peer, this->startedAt);
        }
    }
    return std::exchange(this->wanted, {});
}

std::vector<VmName> HomeDirectory::firstOthers() const
{
    std::vector<VmName> names = this->others();
    names.resize(std::min(names.size(), kAskedAtStart));
    return names;
}

const HomeView &HomeDirectory::lookup(std::uint64_t key, TimePoint now)
{
    if (this->startedAt == TimePoint{}) {
        this->invalidate(now);
    }
    // Forgetting is safe: a key that comes back is treated as if its home had changed last.
    if (this->entries.size() >= kEntryLimit && !this->entries.contains(key)) {
        this->entries.clear();
    }
    Entry &entry = this->entries[key];
    if (entry.version != this->version) {
        this->rank(key, entry);
    }
    if (entry.view.isHome && !entry.view.isSettled) {
        this->settle(key, entry, now);
    }
    if (entry.view.wasSettled && now - entry.lostAt > kAnswersAfterLoss) {
        entry.view.wasSettled = false;
    }
    return entry.view;
}

void HomeDirectory::rank(std::uint64_t key, Entry &entry)
{
    const bool isNew = entry.version == 0;
    const HomeView old = entry.view;
    entry.version = this->version;
    entry.view.ranks.fill(kNoPeer);
    std::size_t count = 0;
    for (const VmName &name : this->membership.ranked(key, entry.view.ranks.size() + 1)) {
        const PeerId peer = this->idOf(name);
        if (count < entry.view.ranks.size() && !(this->leaving && peer == this->self)) {
            entry.view.ranks[count++] = peer;
        }
    }
    const PeerId home = entry.view.ranks[0];
    entry.view.isHome = home == this->self;
    if (isNew) {
        entry.since = this->changedAt;
        return;
    }
    if (entry.view.isHome && !old.isHome) {
        // Noticed only now, but it happened when the rankings last changed.
        entry.since = this->changedAt;
        entry.previous = old.ranks[0];
        // Whoever loses the duty and gets it back within the window has missed nothing that counts.
        entry.view.isSettled = false;
        entry.view.wasSettled = false;
    } else if (!entry.view.isHome && old.isHome) {
        entry.view.wasSettled = old.isSettled;
        entry.view.isSettled = false;
        entry.lostAt = this->changedAt;
    }
}

bool HomeDirectory::isYoung(TimePoint now) const
{
    return now - this->startedAt < this->options.youngVm;
}

bool HomeDirectory::isTakenOver(PeerId peer, TimePoint since)
{
    if (peer == this->self || this->reachable(peer) == nullptr
        || this->takenOverAt[peer] >= since) {
        return true;
    }
    this->wanted.insert(peer);
    return false;
}

PeerId HomeDirectory::likelyPredecessor(std::uint64_t key, const HomeView &view) const
{
    PeerId best = kNoPeer;
    for (const PeerId peer : this->leavers) {
        const bool isBetter = best == kNoPeer
            || rendezvousScore(key, this->names[peer].str())
                > rendezvousScore(key, this->names[best].str());
        if (isBetter && this->reachable(peer) != nullptr) {
            best = peer;
        }
    }
    if (best != kNoPeer) {
        return best;
    }
    return this->reachable(view.ranks[1]) != nullptr ? view.ranks[1] : kNoPeer;
}

void HomeDirectory::settle(std::uint64_t key, Entry &entry, TimePoint now)
{
    HomeView &view = entry.view;
    if (this->reachable(entry.previous) != nullptr) {
        view.ask = entry.previous;
        view.isSettled = this->isTakenOver(entry.previous, entry.since);
        return;
    }
    view.ask = this->likelyPredecessor(key, view);
    bool known = now - entry.since >= this->options.takeoverWindow;
    if (this->isYoung(now)) {
        // The predecessor is not known by name, but it is among the next in rank.
        for (const PeerId peer : view.ranks) {
            known = this->isTakenOver(peer, this->startedAt) && known;
        }
    }
    view.isSettled = known;
}
}
