#pragma once

#include "global/hash.h"
#include "membership/imembership.h"
#include "membership/types/member.h"

#include <algorithm>
#include <map>

namespace radishladder::flows {

//! One VM's view of the others, changed by the test.
class FakeMembership : public membership::IMembership
{
public:
    explicit FakeMembership(const VmName &self) : name(self) { }

    const VmName &self() const override { return this->name; }
    std::vector<membership::Member> members() const override
    {
        std::vector<membership::Member> result;
        for (const auto &[key, member] : this->known) {
            result.push_back(member);
        }
        return result;
    }
    const membership::Member *find(const VmName &wanted) const override
    {
        const auto found = this->known.find(wanted);
        return found == this->known.end() ? nullptr : &found->second;
    }
    std::vector<VmName> ranked(std::uint64_t key, std::size_t count) const override
    {
        std::vector<VmName> names;
        for (const auto &[vm, member] : this->known) {
            if (member.state < membership::MemberState::Leaving) {
                names.push_back(vm);
            }
        }
        std::ranges::sort(names, std::greater(),
                          [key](const VmName &vm) { return rendezvousScore(key, vm.str()); });
        names.resize(std::min(names.size(), count));
        return names;
    }
    bool isConfident(std::chrono::steady_clock::time_point) const override
    {
        return this->confident;
    }
    bool isRevisionKnownByAll(std::int64_t, std::chrono::steady_clock::time_point) const override
    {
        return true;
    }
    void reportOwn(std::uint64_t, std::int64_t) override { }
    void subscribe(Subscriber subscriber) override
    {
        this->subscribers.push_back(std::move(subscriber));
    }

    //! Adds or changes a VM and tells the subscribers.
    void set(const membership::Member &member)
    {
        this->known[member.name] = member;
        for (const Subscriber &subscriber : this->subscribers) {
            subscriber(member);
        }
    }

    //! All VMs were heard at \a now.
    void hear(std::chrono::steady_clock::time_point now)
    {
        for (auto &[vm, member] : this->known) {
            member.lastHeard = now;
        }
    }

    bool confident = true;

private:
    VmName name;
    std::map<VmName, membership::Member> known;
    std::vector<Subscriber> subscribers;
};
}
