#pragma once

#include "settings/types/vmsettings.h"

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace radishladder::radishbench {

//! Starts, stops and kills daemons, each with a settings file in a directory of this run.
class VmProcesses
{
public:
    //! Logs are kept in \a logDirectory; if that is empty they are removed with the run.
    VmProcesses(std::string program, std::vector<settings::VmSettings> vms,
                const std::string &logDirectory);

    //! Kills what still runs.
    ~VmProcesses();

    bool start(std::size_t index);
    void signal(std::size_t index, int number);

    //! True once the daemon has ended; never blocks.
    bool hasEnded(std::size_t index);

    //! Ends all daemons: asks, waits up to \a patience, then kills.
    void endAll(std::chrono::milliseconds patience);

    //! Process of a running daemon, 0 if it does not run.
    pid_t process(std::size_t index) const { return this->processes[index]; }

    const std::vector<settings::VmSettings> &settings() const { return this->vms; }

private:
    std::string program;
    std::vector<settings::VmSettings> vms;
    std::string directory;
    std::string logDirectory;
    std::vector<pid_t> processes;
};
}
