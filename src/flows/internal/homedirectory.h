#pragma once

#include "flows/internal/flowrecord.h"
#include "flows/internal/homeview.h"
#include "flows/types/flowoptions.h"
#include "global/name.h"

#include <array>
#include <chrono>
#include <set>
#include <unordered_map>
#include <vector>

namespace radishladder::membership {
class IMembership;
struct Member;
}

namespace radishladder::flows {

//! Follows who is home of each key that is in use.
class HomeDirectory
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    HomeDirectory(const membership::IMembership &membership, const FlowOptions &options);

    //! Valid until the next call.
    const HomeView &lookup(std::uint64_t key, TimePoint now);

    //! A VM appeared or changed its state.
    void noteMember(const membership::Member &member, TimePoint now);

    //! Rankings may have changed.
    void invalidate(TimePoint now);

    //! \a peer has sent all records that this VM is home of.
    void noteTakenOver(PeerId peer, TimePoint now);

    //! VMs to pull records from; cleared by the call.
    std::set<PeerId> takeWanted(TimePoint now);

    PeerId idOf(const VmName &name);
    const VmName &nameOf(PeerId peer) const { return this->names[peer]; }

    //! The VM, unless it is dead or unknown.
    const membership::Member *reachable(PeerId peer) const;

    //! All other VMs that are not dead.
    std::vector<VmName> others() const;

    //! This VM leaves and is nobody's home any more.
    void leave(TimePoint now);

private:
    std::vector<VmName> firstOthers() const;
    struct Entry
    {
        HomeView view;
        std::uint64_t version = 0;
        PeerId previous = kNoPeer;
        TimePoint since{};
        TimePoint lostAt{};
    };

    void rank(std::uint64_t key, Entry &entry);
    void settle(std::uint64_t key, Entry &entry, TimePoint now);
    PeerId likelyPredecessor(std::uint64_t key, const HomeView &view) const;
    bool isTakenOver(PeerId peer, TimePoint since);
    bool isYoung(TimePoint now) const;

    const membership::IMembership &membership;
    FlowOptions options;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::unordered_map<VmName, PeerId> ids;
    std::vector<VmName> names;
    std::vector<TimePoint> takenOverAt;
    std::set<PeerId> wanted;

    //! VMs that announced their stop and still run.
    std::set<PeerId> leavers;
    PeerId self;
    std::uint64_t version = 1;
    TimePoint startedAt{};
    TimePoint changedAt{};
    bool leaving = false;
};
}
