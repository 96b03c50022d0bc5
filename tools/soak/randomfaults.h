#pragma once

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

//! Faults drawn by the world's seed: signals to processes, trouble of the store and of links to it,
//! and changes of upstreams, configuration and data centres, in series that overlap.
class RandomFaults : public radishbench::IFaultInjector
{
public:
    RandomFaults();
    ~RandomFaults() override;

    bool prepare(radishbench::WorldParts &world) override;
    void begin(radishbench::WorldParts &world) override;
    void end() override;

private:
    void scheduleFault();
    void injectFault();

    //! \a vmAddress is kept from hearing of changes from \a begin until \a end.
    void disturb(std::uint32_t vmAddress, std::chrono::milliseconds lasts,
                 const std::function<void()> &begin, std::function<void()> end);
    void pauseVm(radishbench::VmHandle &vm);
    void troubleStore(standins::StoreMode mode);
    void troubleProxy(std::size_t vm);
    void replaceUpstream();
    void crashUpstream();
    void changeConfiguration();
    void evacuate();
    radishbench::UpstreamHost *pickUpstream();

    radishbench::WorldParts *world = nullptr;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
    int configurationVersion = 1;
    bool isOut = false;
};
}
