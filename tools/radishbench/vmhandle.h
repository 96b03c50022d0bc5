#pragma once

#include "net/types/endpoint.h"

#include <chrono>
#include <memory>
#include <string>
#include <sys/types.h>

namespace radishladder::net {
class LibeventHttpConnection;
class LibeventLoop;
}

namespace radishladder::radishbench {
struct Addresses;

//! One VM's process, started, signalled and ended by its id, with the router's view of it.
class VmHandle
{
public:
    VmHandle(net::LibeventLoop &loop, const Addresses &addresses, std::string program,
             std::string directory, std::string dataCentre, int dataCentreNumber, int number,
             net::Endpoint store);
    ~VmHandle();

    void start();
    void signal(int number);
    void probe();

    //! True if the process has ended; collects it.
    bool hasEnded();

    //! Ends the process if it still runs.
    void kill();

    bool isRunning() const { return this->process > 0; }
    bool isInRotation() const { return this->missedProbes < 2; }
    const std::string &name() const { return this->ownName; }
    const std::string &dataCentre() const { return this->ownDataCentre; }
    net::Endpoint packets() const;
    net::Endpoint operations() const;

    //! Resident memory in kilobytes; 0 if it does not run.
    long residentKb() const;
    long threads() const;

    //! Processor time used so far.
    std::chrono::milliseconds processorTime() const;

private:
    void writeSettings() const;
    std::string statusField(const std::string &field) const;

    net::LibeventLoop &loop;
    const Addresses &addresses;
    std::string program;
    std::string directory;
    std::string ownName;
    std::string ownDataCentre;
    int dataCentreNumber;
    int number;
    net::Endpoint store;
    pid_t process = -1;
    int missedProbes = 2;
    bool probing = false;
    std::unique_ptr<net::LibeventHttpConnection> connection;
};
}
