#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace radishladder::radishbench {

//! Size, length and seed of one run.
struct WorldPlan
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds lasts{10000};
    int dataCentres = 2;
    int vmsPerDataCentre = 2;
    int upstreamsPerDataCentre = 4;
    int flowsPerSecond = 60;

    //! Mean pause between two faults; 0 for none.
    std::chrono::milliseconds faultEvery{0};

    //! Keeps runs that go on side by side apart, 0 to 63.
    std::uint8_t lane = 0;

    //! Path of the daemon.
    std::string program;
};
}
