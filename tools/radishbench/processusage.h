#pragma once

#include <chrono>
#include <optional>
#include <sys/types.h>

namespace radishladder::radishbench {

//! Processor time that \a process has used, all threads together; std::nullopt if it is gone.
std::optional<std::chrono::nanoseconds> processorTime(pid_t process);

//! Resident memory of \a process in megabytes; std::nullopt if it is gone.
std::optional<double> residentMegabytes(pid_t process);
}
