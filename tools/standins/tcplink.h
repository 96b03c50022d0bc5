#pragma once

#include "net/types/endpoint.h"

#include <memory>
#include <vector>

namespace radishladder::standins {
class NetworkMap;

//! Passes TCP connections between VMs from a VM's listed address on to its real one, with the delay
//! between their data centres; a cut leaves connections silent.
class TcpLink
{
public:
    //! Where connections arrive and where they go.
    struct Route
    {
        net::Endpoint listed;
        net::Endpoint real;
    };

    TcpLink(std::vector<Route> routes, const NetworkMap &network);

    //! Ends all connections.
    ~TcpLink();

    //! Listens and passes on, on a thread of its own; false if an address cannot be bound.
    bool start();

private:
    struct State;
    std::unique_ptr<State> state;
};
}
