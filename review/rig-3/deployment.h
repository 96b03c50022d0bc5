#pragma once

#include "client.h"
#include "eventloop.h"
#include "host.h"
#include "router.h"
#include "store.h"
#include "vm.h"

#include <cstddef>
#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace radishladder::review {

//! A route of the configuration.
struct Route
{
    std::string name;
    Endpoint address;
    std::string type = "safe";
    std::string service;
    int priority = 1;
    int targetLatencyMs = 200;
};

//! A service of the configuration.
struct Service
{
    std::string name;
    int maxConnections = 2000;
    double warmupPerSecond = 0;
};

//! A small deployment on loopback addresses: VMs as processes, stand-ins of the platform, hosts and
//! clients.
class Deployment
{
public:
    //! \a recordPath receives what was sent, answered and run; \a folder is temporary.
    Deployment(const std::string &recordPath, std::string folder, std::vector<std::string> command);

    void addVms(const std::string &zone, std::size_t count);

    //! Adds a host whose identity and address are set here; the rest is that of \a partial.
    Host &addHost(const HostSettings &partial);
    void addClients(const std::string &zone, std::size_t count);

    //! Writes a configuration as the operator does.
    void configure(int version, const std::vector<Route> &routes,
                   const std::vector<Service> &services);

    //! Starts the VMs and the router, calls \a onReady once all VMs are in rotation, and runs until
    //! finish(); ends with status 2 if the VMs don't get ready. Returns the exit status.
    int run(const std::function<void()> &onReady);

    //! Ends run() with status 1 if \a isBroken.
    void finish(bool isBroken);

    //! Sends a VM SIGTERM and starts it again once it has ended.
    void restartVm(std::size_t index);

    //! Kills a VM or starts it again.
    void stopVm(std::size_t index);
    void startVm(std::size_t index) { this->vms[index]->start(); }

    //! Appends a line with the time to the record.
    void record(const std::string &line);

    //! Address of the route number \a index.
    Endpoint routeAddress(std::uint16_t index) const;

    Endpoint storeAddressOf(std::size_t vm) const;

    EventLoop &eventLoop() { return this->loop; }
    Store &platformStore() { return this->store; }
    std::vector<std::unique_ptr<Client>> &allClients() { return this->clients; }
    std::vector<std::unique_ptr<Host>> &allHosts() { return this->hosts; }

private:
    std::uint32_t addressAt(std::uint32_t group, std::uint32_t index) const;
    std::vector<Endpoint> seeds() const;
    void awaitReady(const std::function<void()> &onReady);
    void checkProcesses();
    void startOnceStopped(std::size_t index);

    EventLoop loop;
    Store store{this->loop};
    std::ofstream recordFile;
    std::string folder;
    std::vector<std::string> command;
    std::uint32_t network = 0;
    std::unique_ptr<Router> router;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Client>> clients;
    int status = 0;
};
}
