#pragma once

#include <cstddef>

namespace radishladder::radishbench {

//! Which promises a run puts to the test, told from its faults and load.
struct RunTraits
{
    std::size_t vms = 0;
    int vmKills = 0;
    int vmPauses = 0;
    bool upstreamLeaves = false;
    bool upstreamKilled = false;
    bool upstreamColdOrStarted = false;
    bool upstreamSheds = false;
    bool dataCentreOut = false;
    bool cutOff = false;
    bool configChanges = false;
    bool rollingRestart = false;
    bool packetsDisturbed = false;
    bool overloaded = false;
    bool hasUploads = false;

    //! No fault at all.
    bool isSteady = false;
};
}
