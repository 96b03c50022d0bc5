#pragma once

#include "global/name.h"
#include "placement/types/upstreamindex.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace radishladder::membership {
class ISharedFacts;
}

namespace radishladder::placement {

//! Which upstreams have contested slots, as this VM and the others state it.
class MarkBoard
{
public:
    explicit MarkBoard(membership::ISharedFacts &facts);

    //! Makes room for the upstream with the next number.
    void append(std::uint64_t wireId);

    //! Learns which VMs state the mark of \a upstream under \a factKey.
    void learn(UpstreamIndex upstream, const std::string &factKey);

    //! States marks for exactly \a wanted and takes all other own ones back.
    void state(std::set<UpstreamIndex> wanted);

    //! Asks again whether all VMs know this VM's marks.
    void updateSettled(std::chrono::steady_clock::time_point now);

    //! This or another VM states a mark.
    bool isMarked(UpstreamIndex upstream) const;

    //! This VM states a mark and all VMs know it.
    bool isSettled(UpstreamIndex upstream) const;

private:
    struct Mark
    {
        std::uint64_t wireId = 0;
        bool own = false;
        bool settled = false;
        std::set<VmName> origins;
    };

    membership::ISharedFacts &facts;
    std::vector<Mark> marks;
    std::set<UpstreamIndex> ownMarks;
};
}
