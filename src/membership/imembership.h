#pragma once

#include "global/name.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace radishladder::membership {
struct Member;

//! The VMs of the system as this VM sees them.
class IMembership
{
public:
    using Subscriber = std::function<void(const Member &)>;

    virtual ~IMembership() = default;

    virtual const VmName &self() const = 0;

    //! All known VMs including this one, by name; dead ones stay listed until the platform forgets
    //! them.
    virtual std::vector<Member> members() const = 0;

    //! The VM called \a name; nullptr if unknown. Valid until the next message or tick.
    virtual const Member *find(const VmName &name) const = 0;

    //! Up to \a count VMs that may hold duties (alive or suspect), best rendezvous rank for \a key
    //! first.
    virtual std::vector<VmName> ranked(std::uint64_t key, std::size_t count) const = 0;

    //! True while a majority of the VMs was heard recently, so that local knowledge cannot be
    //! outdated.
    virtual bool isConfident(std::chrono::steady_clock::time_point now) const = 0;

    //! True once every VM either reports \a revision or has been silent so long that it cannot be
    //! confident itself.
    virtual bool isRevisionKnownByAll(std::int64_t revision,
                                      std::chrono::steady_clock::time_point now) const = 0;

    //! What this VM reports of itself in heartbeats.
    virtual void reportOwn(std::uint64_t generation, std::int64_t documentRevision) = 0;

    //! Calls \a subscriber whenever a VM appears or changes state.
    virtual void subscribe(Subscriber subscriber) = 0;
};
}
