#pragma once

#include "membership/imembership.h"
#include "membership/types/member.h"

namespace radishladder::placement::fakes {

//! One VM's view of a fleet that the test sets.
class FakeMembership : public membership::IMembership
{
public:
    const VmName &self() const override { return this->own; }
    std::vector<membership::Member> members() const override { return this->all; }
    const membership::Member *find(const VmName &) const override { return nullptr; }
    std::vector<VmName> ranked(std::uint64_t, std::size_t) const override { return {this->first}; }
    bool isConfident(std::chrono::steady_clock::time_point) const override
    {
        return this->confident;
    }
    bool isRevisionKnownByAll(std::int64_t revision,
                              std::chrono::steady_clock::time_point) const override
    {
        return revision <= this->knownRevision;
    }
    void reportOwn(std::uint64_t, std::int64_t) override { }
    void subscribe(Subscriber) override { }

    VmName own{"vm-a"};
    VmName first{"vm-a"};
    std::vector<membership::Member> all;
    bool confident = true;
    std::int64_t knownRevision = 0;
};
}
