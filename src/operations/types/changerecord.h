#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace radishladder::operations {

//! One accepted change of the configuration.
struct ChangeRecord
{
    std::uint64_t generation = 0;
    std::string changeId;
    std::string operatorName;
    std::chrono::sys_time<std::chrono::milliseconds> time{};
    std::string summary;

    bool operator==(const ChangeRecord &) const = default;
};
}
