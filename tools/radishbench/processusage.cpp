#include "radishbench/processusage.h"

#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

namespace radishladder::radishbench {
namespace {
constexpr double kBytesPerMegabyte = 1e6;

std::filesystem::path processDirectory(pid_t process)
{
    return std::filesystem::path("/proc") / std::to_string(process);
}
}

std::optional<std::chrono::nanoseconds> processorTime(pid_t process)
{
    std::error_code error;
    std::chrono::nanoseconds total{0};
    bool isAny = false;
    for (const auto &task :
         std::filesystem::directory_iterator(processDirectory(process) / "task", error)) {
        std::ifstream file(task.path() / "schedstat");
        std::int64_t running = 0;
        if (file >> running) {
            total += std::chrono::nanoseconds(running);
            isAny = true;
        }
    }
    return isAny ? std::make_optional(total) : std::nullopt;
}

std::optional<double> residentMegabytes(pid_t process)
{
    std::ifstream file(processDirectory(process) / "statm");
    std::int64_t all = 0;
    std::int64_t resident = 0;
    if (!(file >> all >> resident)) {
        return std::nullopt;
    }
    return static_cast<double>(resident * ::sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}
}
