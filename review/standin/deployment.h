#pragma once

#include "client.h"
#include "host.h"
#include "record.h"
#include "store.h"
#include "vm.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

//! A small deployment on loopback: real VM processes between stand-ins of the store, the routers,
//! the hosts and the clients.
class Deployment
{
public:
    Deployment(const std::string &program, const std::string &folder);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    //! Starts the store, \a vmCount VMs, \a startDelay apart, and the client; returns false if that
    //! fails.
    bool start(int vmCount, Milliseconds startDelay = Milliseconds(0));

    //! Starts a host, at the address of \a previous if that is not null; returns null if that
    //! fails.
    Host *addHost(std::uint64_t id, Milliseconds work, const std::string &service = "orders",
                  const Host *previous = nullptr);

    //! Calls \a task once all VMs are in rotation; stops the loop if they aren't in time.
    void whenReady(const std::function<void()> &task);

    //! Returns a client port, not used before, whose flows the routers send to \a vm while all VMs
    //! are in rotation.
    std::uint16_t portThrough(const Vm &vm);
    Endpoint service() const;

    //! Writes a configuration in which the service has a second route, on port 8082, if
    //! \a hasAddedRoute.
    void configure(int version, bool hasAddedRoute);

    //! Returns the VM that the routers choose for \a flow, or would choose without \a excluded.
    Vm *route(const FlowKey &flow, const Vm *excluded = nullptr) const;

    Loop loop;
    Record record;
    std::unique_ptr<Store> store;
    std::unique_ptr<Client> client;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::unique_ptr<Host>> hosts;
    bool isReady = false;

    //! Requests that a host runs at the same time; for hosts that are added from now on.
    int slots = 3;

    //! Time for which hosts that start during traffic are cold; set before start().
    Milliseconds warmup{0};

    //! Kind of the requests of the service; set before start().
    std::string kind = "unsafe";

private:
    void send(const FlowKey &flow, const Packet &packet);

    std::string program;
    std::string directory;
    std::uint16_t packetPort = 0;
    std::uint16_t lastPort = 1024;
    int routerSocket = -1;
};
}
