#pragma once

#include "membership/internal/memberrecord.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace radishladder::telemetry {
class ITimeLine;
}

namespace radishladder::membership {
struct ListedVm;

//! The known VMs, their states and the transitions between them.
class MemberTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Subscriber = std::function<void(const Member &)>;
    using Records = std::map<VmName, MemberRecord>;

    MemberTable(const Member &self, telemetry::ITimeLine &timeLine);

    const VmName &self() const { return this->selfName; }
    Records &all() { return this->records; }
    const Records &all() const { return this->records; }

    MemberRecord *find(const VmName &name);
    const MemberRecord *find(const VmName &name) const;
    MemberRecord *findByHash(std::uint32_t hash);
    MemberRecord &findOrAdd(const VmName &name, TimePoint now);

    //! Takes the platform's list; VMs that left it keep their state until they fall silent.
    void applyList(const std::vector<ListedVm> &list, TimePoint now);

    //! Takes an address that another VM passed on, before this VM has a list of its own.
    void addHint(const ListedVm &vm, TimePoint now);

    //! True if the update was newer than what is known.
    bool applyUpdate(MemberRecord &record, MemberState state, std::uint64_t incarnation,
                     TimePoint now);

    //! Forgets VMs that are off the list and silent.
    void forgetSilent(TimePoint now);

    //! VMs that count for a majority: all but leaving ones.
    std::size_t countedVms() const;

    //! True if the platform's list is not empty and lacks this VM.
    bool isSelfUnlisted() const;

    void subscribe(Subscriber subscriber) { this->subscribers.push_back(std::move(subscriber)); }

private:
    void enter(MemberRecord &record, MemberState state, TimePoint now);
    void announce(const Member &member) const;

    VmName selfName;
    telemetry::ITimeLine &timeLine;
    Records records;
    std::map<std::uint32_t, VmName> namesByHash;
    std::vector<Subscriber> subscribers;
};
}
