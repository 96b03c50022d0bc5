#pragma once

#include "global/reason.h"
#include "settings/types/vmsettings.h"

#include <memory>
#include <string>

namespace radishladder::app {

//! One VM's process: wires the modules together and runs them on one thread.
class VmProcess
{
public:
    //! \a settingsPath is read again when the process is told to reload.
    VmProcess(settings::VmSettings settings, std::string settingsPath);
    ~VmProcess();

    //! Runs until the process is asked to stop; false if it could not start or a component keeps
    //! failing (see lastReason()).
    bool run();

    Reason lastReason() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};
}
