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

//! Process of one VM: starts, signals and ends it by its process id, and probes its readiness as
//! the router does.
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

    //! Returns true if the process has ended, and reaps it.
    bool hasEnded();

    //! Kills the process if it is still running.
    void kill();

    bool isRunning() const { return this->process > 0; }
    bool isInRotation() const { return this->missedProbes < 2; }
    const std::string &name() const { return this->ownName; }
    const std::string &dataCentre() const { return this->ownDataCentre; }
    net::Endpoint packetEndpoint() const;
    net::Endpoint operationsEndpoint() const;

    //! Resident memory in kilobytes; 0 if the process is not running.
    long residentKb() const;
    long threads() const;

    //! Processor time that the process has used.
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
    bool isProbing = false;
    std::unique_ptr<net::LibeventHttpConnection> connection;
};
}
