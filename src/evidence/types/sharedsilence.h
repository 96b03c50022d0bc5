#pragma once

#include <chrono>

namespace radishladder::evidence {

//! Silence of an upstream as observed on the flows of all VMs of the data centre.
struct SharedSilence
{
    using TimePoint = std::chrono::steady_clock::time_point;

    //! The flows of this VM and of others together show that the upstream is silent.
    bool isSuspect = false;

    //! The silence of this VM's own flows is refuted by a response on a flow of another VM.
    bool isOwnRefuted = false;

    //! Other VMs that report the upstream as silent, and their silent flows.
    int witnesses = 0;
    int silentFlows = 0;

    //! Silent flows of this VM.
    int ownSilentFlows = 0;

    //! When the silence began, and when the newest report was received; valid if there are
    //! witnesses.
    TimePoint since;
    TimePoint newestReport;
};
}
