#pragma once

#include "global/reason.h"
#include "settings/types/vmsettings.h"

#include <memory>
#include <string>

namespace radishladder::app {

//! Process of one VM: creates the modules, connects them and runs them on one thread.
class VmProcess
{
public:
    //! Reads the settings again from \a settingsPath when the process receives SIGHUP.
    VmProcess(settings::VmSettings settings, std::string settingsPath);
    ~VmProcess();

    //! Runs until the process has stopped after SIGTERM or SIGINT. Returns false if it could not
    //! start or a component keeps failing (see lastReason()).
    bool run();

    Reason lastReason() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};
}
