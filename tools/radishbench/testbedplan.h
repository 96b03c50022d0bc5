#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace radishladder::radishbench {

//! Size, duration and seed of one run.
struct TestbedPlan
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration{10000};
    int dataCentres = 2;
    int vmsPerDataCentre = 2;
    int upstreamsPerDataCentre = 4;
    int flowsPerSecond = 60;

    //! Mean interval between two faults; 0 injects none.
    std::chrono::milliseconds meanFaultInterval{0};

    //! Selects the loopback addresses, 0 to 63; simultaneous runs need different lanes.
    std::uint8_t lane = 0;

    //! Path of radishladderd.
    std::string daemonPath;
};
}
