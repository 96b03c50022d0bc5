#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::flows {

//! State of an upstream that decisions on its flows depend on, with its age or version; for logs
//! and reports.
struct DecisionInputs
{
    std::uint64_t configurationVersion = 0;

    //! Time since the upstream's store entry was last received.
    std::chrono::milliseconds entryAge{0};

    //! Age of the listing of the upstreams: it includes all changes until this long ago.
    std::chrono::milliseconds listingAge{0};

    //! Time since the upstream last responded on a flow of this VM; negative if it never did.
    std::chrono::milliseconds responseAge{-1};

    //! Flows of this VM on the upstream.
    int openFlows = 0;
    int busyFlows = 0;
    int silentFlows = 0;

    //! Other VMs that report the upstream as silent, the time since the silence began on any VM,
    //! and the age of the newest report; the times are valid if there are witnesses.
    int witnesses = 0;
    std::chrono::milliseconds sharedSilence{0};
    std::chrono::milliseconds evidenceAge{0};
};
}
