#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::radishbench {

//! What the command line asks for.
struct RunOptions
{
    std::string daemon;
    std::string scenario;
    std::optional<std::string> deployment;
    std::uint64_t seed = 1;
    std::optional<std::chrono::milliseconds> duration;
    std::optional<int> vms;
    int network = 1;
    std::string flowMechanism = "epochs";
    std::string requestMechanism = "shared";
    std::vector<std::string> faults;
    std::string traceFile;

    //! Directory that keeps the daemons' logs; empty: they go with the run.
    std::string logDirectory;
};
}
