#pragma once

#include "endpoint.h"
#include "eventloop.h"
#include "packet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace radishladder::review {

//! Stand-in of the platform's routers: forwards packets of clients to a VM in rotation in their
//! zone by a rendezvous hash, so that only the flows of a VM move when it joins or leaves.
class Router
{
public:
    struct Target
    {
        std::string zone;
        Endpoint packets;
        Endpoint readiness;
    };

    //! Sends through the datagram socket \a descriptor.
    Router(EventLoop &loop, int descriptor) : loop(loop), socket(descriptor) { }

    void add(const Target &vm) { this->vms.push_back({.target = vm}); }

    //! Probes each VM twice per second from now on.
    void start();

    //! Forwards a packet of a client in \a zone.
    void forward(const Packet &packet, const std::string &zone);

    //! Returns the index of the VM to which the packets of \a flow from \a zone are sent now.
    std::size_t targetOf(const FlowKey &flow, const std::string &zone) const;

    bool areAllReady() const;

private:
    struct State
    {
        Target target;
        bool isInRotation = false;
        int misses = 0;
        int probe = -1;
    };

    void beginProbe(std::size_t index);
    void onProbeReadable(std::size_t index);
    void endProbe(std::size_t index, bool isReady);

    //! Returns the indexes of the VMs that get the packets of clients in \a zone.
    std::vector<std::size_t> candidatesFor(const std::string &zone) const;

    EventLoop &loop;
    int socket = -1;
    std::vector<State> vms;
};
}
