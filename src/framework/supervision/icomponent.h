#pragma once

#include "global/reason.h"

#include <string>

namespace radishladder::supervision {

//! Part of the process that a supervisor starts, checks, restarts and stops.
class IComponent
{
public:
    virtual ~IComponent() = default;

    virtual std::string name() const = 0;

    //! Starts the component; returns false on failure (see lastReason()).
    virtual bool start() = 0;

    //! Stops the component and releases its resources; does nothing if it is not started.
    virtual void stop() = 0;

    //! Returns true while the component works; the supervisor restarts it otherwise.
    virtual bool isHealthy() const = 0;

    //! Returns why start() or the last health check failed.
    virtual Reason lastReason() const = 0;
};
}
