#pragma once

#include "net/types/endpoint.h"

namespace radishladder::membership {

//! What a VM can do for the others of its data centre.
struct RelayOffer
{
    //! Where it passes on what the store says.
    net::Endpoint address;

    //! Speed of its link, in Mbit/s.
    int mbps = 0;
};
}
