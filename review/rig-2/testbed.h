#pragma once

#include "flows/types/flowkey.h"
#include "net/batchsocket.h"
#include "net/libeventhttpconnection.h"
#include "net/libeventhttpserver.h"
#include "net/libeventloop.h"
#include "record.h"

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace radishladder::platform {
class StoreServer;
}
namespace radishladder::standins {
class MemoryStore;
}

namespace review {
class Client;
class Host;

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

//! Process of one VM as the router and the platform see it.
struct Vm
{
    std::string name;
    std::string zone;
    std::uint32_t address = 0;
    pid_t process = -1;
    int missedProbes = 2;
    bool isProbing = false;

    //! True while the VM is partitioned from the store: no packet passes in either direction.
    bool isCut = false;

    //! What the partition holds up: it arrives when the partition ends.
    std::vector<std::function<void()>> heldUp;

    //! End of the last partition.
    Clock::time_point cutUntil;

    //! Value of the VM's metric `relay_followers`, read by readRelayFollowers().
    double relayFollowers = 0;
    std::unique_ptr<radishladder::net::LibeventHttpServer> storeFront;
    std::unique_ptr<radishladder::net::LibeventHttpConnection> operations;
    std::unique_ptr<radishladder::net::LibeventHttpConnection> probe;

    bool isInRotation() const { return this->missedProbes < 2; }
};

//! A small deployment on loopback: real VM processes, and stand-ins of the platform's store and
//! routers, of hosts and of clients.
class Rig
{
public:
    //! \a root is the repository, \a scratch a folder for settings and logs.
    Rig(std::string root, std::string scratch, Record &record);
    ~Rig();

    //! Returns the address 127.x.part.number, where x differs between runs.
    std::uint32_t address(int part, int number) const;

    void addVm(const std::string &zone);
    Host &addHost(const std::string &zone, const std::string &service);

    //! Writes a configuration as the operator does. Each service has one route, on the port
    //! 8000 + its index.
    void publishConfiguration(const std::vector<std::pair<std::string, std::string>> &services,
                              double warmupPerSecond);

    //! Starts the store and chooses addresses; must be called first. Returns false on failure.
    bool prepare();

    //! Starts hosts and VMs, calls \a begin \a settleTime after all VMs have entered the rotation,
    //! and ends \a duration later. Returns false if the VMs did not enter the rotation.
    bool run(milliseconds settleTime, milliseconds duration, std::function<void()> begin);

    //! Writes an item of the store at once, as another writer than the system does.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    radishladder::net::Endpoint serviceEndpoint(int index) const;

    //! Returns the VM of \a zone that the routers select for \a flow; null if there is none.
    Vm *selectVm(const radishladder::flows::FlowKey &flow, const std::string &zone);

    //! Sends a client's packet as the routers do.
    void route(const radishladder::flows::FlowKey &flow, const std::string &zone,
               std::span<const std::uint8_t> datagram);

    //! Partitions \a vm from the store for \a duration.
    void cutFromStore(Vm &vm, milliseconds duration);

    //! Asks each VM for its metric `relay_followers`.
    void readRelayFollowers();

    const Vm *findVm(std::uint32_t address) const;

    //! Called when the store has answered a call of a VM.
    std::function<void(Vm &, const std::string &path)> onStoreAnswer;

    //! Sends SIGTERM to \a vm; the platform starts it again half a second after its end.
    void terminate(Vm &vm);

    Record &record;
    radishladder::net::LibeventLoop loop;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::string> violations;

    void recordViolation(const std::string &text);

private:
    bool startStoreFront(Vm &vm);

    //! Runs \a delivery now, or at the end of the partition between \a vm and the store.
    void pass(Vm &vm, std::function<void()> delivery);
    void startVm(Vm &vm, bool isFirstStart);
    void writeSettings(const Vm &vm, bool isFirstStart) const;
    void probeVms();
    void restartEndedVms();
    void interrupt();
    void beginWhenReady(milliseconds settleTime, milliseconds duration);

    std::string root;
    std::string scratch;
    int lane = 0;
    bool isReady = false;
    bool isInterrupted = false;
    std::function<void()> begin;
    std::uint64_t lastHost = 0;
    std::unique_ptr<radishladder::standins::MemoryStore> store;
    std::unique_ptr<radishladder::platform::StoreServer> storeHandler;
    std::unique_ptr<radishladder::net::BatchSocket> routerSocket;
};
}
