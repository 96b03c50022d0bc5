#pragma once

#include <chrono>

namespace radishladder::supervision {

//! Delay and limit of the restarts of a failed component.
struct RestartPolicy
{
    //! Delay before the first restart; doubles with each further failure up to maxDelay.
    //! Supervisor::start() and a failureWindow without failures reset the delay.
    std::chrono::milliseconds initialDelay{100};
    std::chrono::milliseconds maxDelay{10000};

    //! The supervisor escalates on more failures than this within failureWindow.
    int maxRestarts = 8;
    std::chrono::seconds failureWindow{60};
};
}
