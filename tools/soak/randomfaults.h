#pragma once

#include "global/seededrandom.h"
#include "radishbench/ifaultinjector.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace radishladder::standins {
enum class StoreMode : std::uint8_t;
}
namespace radishladder::radishbench {
class UpstreamHost;
class VmHandle;
}

namespace radishladder::soak {
class TcpProxy;

//! Injects faults drawn from the testbed's seed: signals to VM processes, failures of the store and
//! of the links to it, and changes of upstreams, configuration and data centres. Faults overlap.
class RandomFaults : public radishbench::IFaultInjector
{
public:
    RandomFaults();
    ~RandomFaults() override;

    bool prepare(radishbench::TestbedParts &testbedParts) override;
    void begin(radishbench::TestbedParts &testbedParts) override;
    void end() override;

private:
    void scheduleFault();
    void injectFault();

    //! Calls \a begin now and \a end after \a duration, and records \a vmAddress as prevented from
    //! receiving changes in between.
    void disturb(std::uint32_t vmAddress, std::chrono::milliseconds duration,
                 const std::function<void()> &begin, std::function<void()> end);
    void pauseVm(radishbench::VmHandle &vm);
    void failStore(standins::StoreMode mode);
    void scheduleRestore();

    //! Takes a copy of the store, makes the store silent some seconds later and restores the copy.
    void restoreStore();

    //! Writes again what operators and upstreams wrote.
    void writeAgain();
    void failLink(std::size_t vm);
    void replaceUpstream();
    void crashUpstream();
    void changeConfiguration();
    void evacuate();
    radishbench::UpstreamHost *pickUpstream();

    radishbench::TestbedParts *testbed = nullptr;
    std::vector<std::unique_ptr<TcpProxy>> proxies;

    //! Draws the restores of the store. Separate, so that the other faults of a seed stay the same.
    std::unique_ptr<SeededRandom> restoreRandom;
    int configurationVersion = 1;
    int extraRoutes = 0;
    bool isEvacuated = false;
};
}
