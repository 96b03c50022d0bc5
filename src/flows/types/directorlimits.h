#pragma once

#include <chrono>

namespace radishladder::flows {

//! Bounds that the deployment sets for decisions on flows.
struct DirectorLimits
{
    //! New flows that may reach a cold upstream each second from all VMs together: what it bears
    //! times the overage, plus the slack.
    double warmupOverage = 1.5;
    int warmupSlack = 5;

    //! Flows on a data centre that is taken out may go on for this long.
    std::chrono::milliseconds evacuationGrace{3500};

    //! Off while operators have frozen automatic actions: nothing is then concluded from silence.
    bool judgeSilence = true;

    //! Off while this VM is cut off: a flow that it resets could go on through another VM.
    bool resetSilentFlows = true;
};
}
