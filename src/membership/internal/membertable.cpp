#include "membership/internal/membertable.h"

#include "global/hash.h"
#include "membership/internal/confirmationages.h"
#include "membership/membershipbounds.h"
#include "membership/types/listedvm.h"
#include "telemetry/itimeline.h"

#include <algorithm>

namespace radishladder::membership {
namespace {
void copyAddresses(const ListedVm &from, Member &to)
{
    to.dataCentre = from.dataCentre;
    to.data = from.data;
    to.peer = from.peer;
    to.requests = from.requests;
    to.admin = from.admin;
}

const char *eventKind(MemberState before, MemberState after)
{
    switch (after) {
    case MemberState::Suspect:
        return "vm.suspect";
    case MemberState::Leaving:
        return "vm.leaving";
    case MemberState::Dead:
        return "vm.dead";
    case MemberState::Alive:
        break;
    }
    return before == MemberState::Suspect ? "vm.refuted" : "vm.joined";
}
}

MemberTable::MemberTable(const Member &self, telemetry::ITimeLine &timeLine)
    : selfName(self.name), timeLine(timeLine)
{
    MemberRecord &record = this->records[self.name];
    record.member = self;
    record.member.start = self.incarnation;
}

MemberRecord *MemberTable::find(const VmName &name)
{
    const auto record = this->records.find(name);
    return record == this->records.end() ? nullptr : &record->second;
}

const MemberRecord *MemberTable::find(const VmName &name) const
{
    const auto record = this->records.find(name);
    return record == this->records.end() ? nullptr : &record->second;
}

MemberRecord *MemberTable::findByHash(std::uint32_t hash)
{
    const auto name = this->namesByHash.find(hash);
    return name == this->namesByHash.end() ? nullptr : this->find(name->second);
}

MemberRecord &MemberTable::findOrAdd(const VmName &name, TimePoint now)
{
    const auto [entry, isNew] = this->records.try_emplace(name);
    MemberRecord &record = entry->second;
    if (isNew) {
        record.member.name = name;
        // Known is not alive: the platform's list lags.
        record.member.state = MemberState::Dead;
        record.knownSince = now;
        record.hash = static_cast<std::uint32_t>(hash64(name.str())) & ConfirmationAges::kHashMask;
        // Of two names with one hash neither can be told; an empty name is never found.
        const auto [indexed, isFirst] = this->namesByHash.try_emplace(record.hash, name);
        if (!isFirst) {
            indexed->second = VmName();
        }
    }
    return record;
}

void MemberTable::applyList(const std::vector<ListedVm> &list, TimePoint now)
{
    for (auto &[name, record] : this->records) {
        record.isListed = false;
        record.hasAddress = false;
    }
    for (const ListedVm &vm : list) {
        MemberRecord &record = this->findOrAdd(vm.name, now);
        record.isListed = true;
        record.hasAddress = vm.name != this->selfName;
        const bool isMoved = !(record.member.admin == vm.admin && record.member.data == vm.data);
        copyAddresses(vm, record.member);
        if (vm.leaving && vm.name != this->selfName && record.member.state < MemberState::Leaving) {
            this->applyUpdate(record, MemberState::Leaving, record.member.incarnation, now);
        } else if (isMoved) {
            this->announce(record.member);
        }
    }
}

void MemberTable::addHint(const ListedVm &vm, TimePoint now)
{
    MemberRecord &record = this->findOrAdd(vm.name, now);
    record.hasAddress = vm.name != this->selfName;
    if (vm.name != this->selfName) {
        copyAddresses(vm, record.member);
    }
}

bool MemberTable::applyUpdate(MemberRecord &record, MemberState state, std::uint64_t incarnation,
                              TimePoint now)
{
    Member &member = record.member;
    const bool isNewer = incarnation > member.incarnation
        || (incarnation == member.incarnation && state > member.state);
    if (!isNewer) {
        return false;
    }
    member.incarnation = incarnation;
    this->enter(record, state, now);
    return true;
}

void MemberTable::enter(MemberRecord &record, MemberState state, TimePoint now)
{
    const MemberState before = record.member.state;
    if (before == state) {
        return;
    }
    record.member.state = state;
    record.suspectSince.reset();
    if (state == MemberState::Suspect) {
        record.suspectSince = now;
    }
    this->timeLine.record({.kind = eventKind(before, state),
                           .subject = record.member.name.str(),
                           .detail = std::string(memberStateName(before)) + " to "
                               + std::string(memberStateName(state))});
    this->announce(record.member);
}

void MemberTable::forgetSilent(TimePoint now)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        MemberRecord &record = entry->second;
        const auto lastSign = std::max(record.member.lastHeard, record.knownSince);
        if (record.isListed || entry->first == this->selfName || now - lastSign <= kForgetTimeout) {
            ++entry;
            continue;
        }
        this->enter(record, MemberState::Dead, now);
        this->timeLine.record({.kind = "vm.forgotten", .subject = entry->first.str()});
        this->namesByHash.erase(record.hash);
        entry = this->records.erase(entry);
    }
}

std::size_t MemberTable::countedVms() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->records, [this](const auto &item) {
        return item.first == this->selfName || item.second.member.state != MemberState::Leaving;
    }));
}

bool MemberTable::isSelfUnlisted() const
{
    const bool isAnyListed =
        std::ranges::any_of(this->records, [](const auto &item) { return item.second.isListed; });
    return isAnyListed && !this->find(this->selfName)->isListed;
}

void MemberTable::announce(const Member &member) const
{
    for (const Subscriber &subscriber : this->subscribers) {
        subscriber(member);
    }
}
}
