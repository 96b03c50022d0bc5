#pragma once

#include "net/libeventhttpserver.h"
#include "platform/standins/storeserver.h"
#include "radishbench/testbedparts.h"

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
class ClientHost;
class IFaultInjector;

//! Runs real VM processes on loopback with stand-ins of clients, router, upstreams and the store.
class Testbed
{
public:
    //! \a injector may be null.
    Testbed(const TestbedPlan &plan, IFaultInjector *injector);
    ~Testbed();

    //! Runs the plan; returns false if the testbed could not be set up.
    bool run();

    const CheckResults &results() const { return this->parts.results; }

    //! Returns resident memory, threads and processor time of the VMs for printing.
    std::string resources() const;

private:
    bool setUp();
    void openFlows();
    int pickService();
    void probeVms();
    void restartEndedProcesses();
    bool deliver(const flows::FlowKey &flow, std::span<const std::uint8_t> datagram);
    bool isFlowHeld(const flows::FlowKey &flow, std::uint32_t sequence,
                    std::chrono::steady_clock::time_point openedAt) const;
    VmHandle *selectVm(const flows::FlowKey &flow) const;

    TestbedParts parts;
    IFaultInjector *injector;
    platform::StoreServer storeHandler;
    net::LibeventHttpServer storeServer;
    std::unique_ptr<net::BatchSocket> routerSocket;
    std::unique_ptr<ClientHost> clientHost;
    std::string directory;
};
}
