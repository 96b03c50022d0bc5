#pragma once

#include "global/seededrandom.h"
#include "net/libeventhttpserver.h"
#include "net/libeventloop.h"
#include "platform/standins/storeserver.h"
#include "radishbench/addresses.h"
#include "radishbench/calm.h"
#include "radishbench/verdicts.h"
#include "radishbench/worldplan.h"
#include "standins/memorystore.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace radishladder::net {
class BatchSocket;
}
namespace radishladder::flows {
struct FlowKey;
}

namespace radishladder::radishbench {
class Caller;
class TcpProxy;
class UpstreamHost;
class VmHandle;

//! Real VM processes between stand-ins of callers, router, upstreams and store, with faults that
//! come from outside of them.
class World
{
public:
    explicit World(const WorldPlan &plan);
    ~World();

    //! Plays the plan; false if the world could not be set up.
    bool play();

    const Verdicts &verdicts() const { return this->results; }

    //! Resident memory, threads and processor time of the VMs that run.
    std::string resources() const;

private:
    bool setUp();
    void addUpstream(int dataCentre, int coldMs);
    void openFlows();
    void probeAll();
    void watchProcesses();
    bool deliver(const flows::FlowKey &flow, std::span<const std::uint8_t> datagram);
    bool isHeld(const flows::FlowKey &flow, std::uint32_t sequence) const;
    VmHandle *route(const flows::FlowKey &flow) const;

    void scheduleFault();
    void injectFault();
    //! \a vmAddress is kept from hearing of changes from \a begin until \a end.
    void disturb(std::uint32_t vmAddress, std::chrono::milliseconds lasts,
                 const std::function<void()> &begin, std::function<void()> end);
    void pauseVm(VmHandle &vm);
    void troubleStore(standins::MemoryStore::Mode mode);
    void troubleProxy(std::size_t vm);
    void replaceUpstream();
    void crashUpstream();
    void changeConfiguration();
    void evacuate();

    std::size_t pick(std::size_t count) { return this->random.next() % count; }
    UpstreamHost *pickUpstream();

    WorldPlan plan;
    Addresses addresses;
    net::LibeventLoop loop;
    SeededRandom random;
    Verdicts results;
    Calm calm;
    standins::MemoryStore store;
    platform::StoreServer storeCalls;
    net::LibeventHttpServer storeServer;
    std::unique_ptr<net::BatchSocket> routerSocket;
    std::unique_ptr<Caller> caller;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
    std::vector<std::unique_ptr<VmHandle>> vms;
    std::vector<std::unique_ptr<UpstreamHost>> upstreams;
    std::string directory;
    int configurationVersion = 1;
    bool isOut = false;
};
}
