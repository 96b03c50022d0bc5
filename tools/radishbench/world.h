#pragma once

#include "net/libeventhttpserver.h"
#include "platform/standins/storeserver.h"
#include "radishbench/worldparts.h"

#include <chrono>
#include <memory>
#include <span>
#include <string>

namespace radishladder::flows {
struct FlowKey;
}
namespace radishladder::net {
class BatchSocket;
}

namespace radishladder::radishbench {
class Caller;
class IFaultInjector;

//! Real VM processes between stand-ins of callers, router, upstreams and store.
class World
{
public:
    //! \a injector may be null.
    World(const WorldPlan &plan, IFaultInjector *injector);
    ~World();

    //! Plays the plan; false if the world could not be set up.
    bool play();

    const Verdicts &verdicts() const { return this->parts.results; }

    //! Resident memory, threads and processor time of the VMs that run.
    std::string resources() const;

private:
    bool setUp();
    void openFlows();
    int pickService();
    void probeAll();
    void watchProcesses();
    bool deliver(const flows::FlowKey &flow, std::span<const std::uint8_t> datagram);
    bool isHeld(const flows::FlowKey &flow, std::uint32_t sequence,
                std::chrono::steady_clock::time_point openedAt) const;
    VmHandle *route(const flows::FlowKey &flow) const;

    WorldParts parts;
    IFaultInjector *injector;
    platform::StoreServer storeCalls;
    net::LibeventHttpServer storeServer;
    std::unique_ptr<net::BatchSocket> routerSocket;
    std::unique_ptr<Caller> client;
    std::string directory;
};
}
