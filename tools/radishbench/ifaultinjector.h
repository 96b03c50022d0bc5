#pragma once

namespace radishladder::radishbench {
struct WorldParts;

//! Brings faults into a world from outside of its processes.
class IFaultInjector
{
public:
    virtual ~IFaultInjector() = default;

    //! Called once before the processes start; false if it cannot be set up.
    virtual bool prepare(WorldParts &world) = 0;

    //! Called when callers start.
    virtual void begin(WorldParts &world) = 0;

    //! Called when the processes have ended, while the event loop still exists.
    virtual void end() = 0;
};
}
