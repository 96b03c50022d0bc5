#pragma once

namespace radishladder::radishbench {
struct TestbedParts;

//! Injects faults into a testbed from outside its VM processes.
class IFaultInjector
{
public:
    virtual ~IFaultInjector() = default;

    //! Called once before the processes start; returns false if the injector cannot be set up.
    virtual bool prepare(TestbedParts &testbedParts) = 0;

    //! Called when the clients start to open flows.
    virtual void begin(TestbedParts &testbedParts) = 0;

    //! Called after the processes have ended, while the event loop still exists.
    virtual void end() = 0;
};
}
