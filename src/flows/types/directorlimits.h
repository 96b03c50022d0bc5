#pragma once

#include <chrono>

namespace radishladder::flows {

//! Deployment settings and operator switches that constrain the decisions on flows.
struct DirectorLimits
{
    //! A cold upstream receives at most this many new flows per second from all VMs together: the
    //! rate that its service specifies times the overage, plus the slack.
    double warmupOverage = 1.5;
    int warmupSlack = 5;

    //! Packets of open flows to an evacuated data centre are forwarded for this long after the
    //! start of the evacuation.
    std::chrono::milliseconds evacuationGrace{3500};

    //! Off while operators have frozen automatic actions: missing responses then affect no
    //! decision.
    bool detectSilence = true;

    //! Off while this VM is cut off from the upstreams: its silent flows may continue through other
    //! VMs, so they aren't reset.
    bool resetSilentFlows = true;
};
}
