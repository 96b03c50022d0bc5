#pragma once

#include "global/seededrandom.h"
#include "net/asioeventloop.h"
#include "radishbench/deployment.h"
#include "radishbench/platformlist.h"
#include "radishbench/vmprocesses.h"
#include "standins/fabricstandin.h"
#include "standins/linkstandin.h"
#include "standins/networkmap.h"
#include "standins/storestandin.h"
#include "standins/tcplink.h"
#include "standins/upstreamstandin.h"

#include <memory>
#include <string>
#include <vector>

namespace radishladder::radishbench {
struct RunOptions;

//! The daemons of one run and the stand-ins around them.
class Cluster
{
public:
    Cluster(const RunOptions &options, Deployment deployment);
    ~Cluster();

    //! Starts everything; false if a stand-in or daemon cannot be started (see lastReason()).
    bool start();

    net::IEventLoop &loop() { return this->eventLoop; }
    const Deployment &deployment() const { return this->plan; }
    standins::StoreStandin &store() { return this->storeStandin; }
    standins::NetworkMap &network() { return this->networkMap; }
    standins::FabricStandin &fabric() { return this->fabricStandin; }
    const standins::LinkStandin &link() const { return this->linkStandin; }
    PlatformList &platformList() { return this->list; }
    VmProcesses &processes() { return this->daemons; }
    const VmProcesses &processes() const { return this->daemons; }

    const std::vector<std::unique_ptr<standins::UpstreamStandin>> &upstreams() const
    {
        return this->hosts;
    }

    //! nullptr if there is none called \a name.
    standins::UpstreamStandin *findUpstream(const std::string &name) const;

    //! Position of the VM called \a name.
    std::size_t vmIndex(const std::string &name) const;

    //! Positions of the VMs in \a dataCentre.
    std::vector<std::size_t> vmsIn(const std::string &dataCentre) const;

    const std::string &lastReason() const { return this->reason; }

private:
    void placeAddresses();
    bool startUpstreams();

    Deployment plan;
    std::string reason;
    SeededRandom random;
    net::AsioEventLoop eventLoop;
    standins::NetworkMap networkMap;
    standins::StoreStandin storeStandin;
    standins::FabricStandin fabricStandin;
    standins::LinkStandin linkStandin;
    standins::TcpLink tcpLink;
    PlatformList list;
    std::vector<std::unique_ptr<standins::UpstreamStandin>> hosts;
    VmProcesses daemons;
};
}
