#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

//! Inputs of a decision with their age or version, for logs and reports.
struct FlowEvidence
{
    std::uint64_t configurationVersion = 0;

    //! Time since the upstream's store entry was last received.
    std::chrono::milliseconds entryAge{0};

    //! Time since the upstream last responded on a flow of this VM; negative if it never did.
    std::chrono::milliseconds responseAge{-1};

    //! Flows of this VM on the upstream.
    int openFlows = 0;
    int busyFlows = 0;
    int silentFlows = 0;
};
}
