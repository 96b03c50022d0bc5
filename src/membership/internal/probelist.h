#pragma once

#include "global/name.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace radishladder {
class IRandom;
}

namespace radishladder::membership {

//! Heartbeats that wait for an answer, and the shuffled order in which VMs get theirs.
class ProbeList
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Probe
    {
        VmName target;
        TimePoint sentAt{};
        bool triedOthers = false;

        //! If set, the heartbeat was sent for this VM, which gave it this sequence.
        VmName askedBy;
        std::uint64_t askedSequence = 0;
    };

    explicit ProbeList(IRandom &random);

    //! Notes a heartbeat; returns its sequence.
    std::uint64_t add(Probe probe);

    //! The VM whose turn it is among \a candidates; each comes once a round.
    VmName next(const std::vector<VmName> &candidates);

    void shuffle(std::vector<VmName> &names);

    std::map<std::uint64_t, Probe> &probes() { return this->waiting; }

private:
    IRandom &random;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, Probe> waiting;
    std::vector<VmName> round;
};
}
