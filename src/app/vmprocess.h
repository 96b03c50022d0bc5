#pragma once

#include "global/reason.h"
#include "settings/types/vmsettings.h"

#include <chrono>
#include <memory>

namespace radishladder::app {

//! Everything that runs in one radishladderd, assembled and wired.
class VmProcess
{
public:
    explicit VmProcess(settings::VmSettings settings);
    ~VmProcess();

    //! Runs until a signal ends it; the code for the process to exit with.
    int run();

private:
    struct Parts;
    struct Running;

    void startTicks();
    void watchSignals();
    void beginStop();
    void continueStop(std::chrono::steady_clock::time_point stopBegan);
    void finishStop();

    std::unique_ptr<Parts> parts;
};
}
