#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

//! Inputs of a decision, with their age or version.
struct FlowEvidence
{
    std::uint64_t configurationVersion = 0;

    //! Since the upstream's entry was last heard.
    std::chrono::milliseconds entryAge{0};

    //! Since the upstream last answered a flow of this VM; negative if it never did.
    std::chrono::milliseconds answerAge{-1};

    int openFlows = 0;
    int busyFlows = 0;
    int silentFlows = 0;
};
}
