#pragma once

#include "net/types/endpoint.h"

namespace radishladder::membership {

//! Relay service that a VM offers to its peers: it forwards listings and changes of the store.
struct RelayOffer
{
    //! Address at which the VM serves its peers.
    net::Endpoint address;

    //! Speed of the VM's network link, in Mbit/s.
    int mbps = 0;
};
}
