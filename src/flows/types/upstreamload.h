#pragma once

#include <chrono>

namespace radishladder::flows {

//! State of one upstream as observed on the flows of this VM.
//!
//! A flow is silent if its client has retransmitted a packet that the upstream hasn't responded to.
//! An upstream with several silent flows and no response since is a suspect.
struct UpstreamLoad
{
    int openFlows = 0;
    int busyFlows = 0;

    //! Last time that a client's packet acknowledged a response of the upstream.
    std::chrono::steady_clock::time_point lastResponse;

    //! Smoothed time between a request and its response; 0 if unknown.
    std::chrono::microseconds responseTime{0};

    //! Flows that became silent since the last response.
    int silentFlows = 0;

    //! When the silent flow that has waited longest began to wait.
    std::chrono::steady_clock::time_point silentSince;

    //! Earliest time of the next probe flow while the upstream is a suspect, and the current delay
    //! between probes, which doubles with each.
    std::chrono::steady_clock::time_point nextProbe;
    std::chrono::milliseconds probeDelay{0};
};
}
