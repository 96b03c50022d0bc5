#pragma once

#include <chrono>

namespace radishladder::flows {

//! What this VM's own flows show of one upstream.
struct UpstreamLoad
{
    int openFlows = 0;
    int busyFlows = 0;

    //! Last time that a caller's packet showed an answer of the upstream.
    std::chrono::steady_clock::time_point lastProgress;

    //! Flows that went unanswered since then.
    int silentFlows = 0;

    //! When the first of them began to wait.
    std::chrono::steady_clock::time_point silentSince;

    //! When a suspect may next be tried with a new flow, and the pause after that.
    std::chrono::steady_clock::time_point nextTrial;
    std::chrono::milliseconds trialPause{0};
};
}
