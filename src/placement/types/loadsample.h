#pragma once

namespace radishladder::placement {

//! What one VM knows at one time of the load of a service in a data centre.
struct LoadSample
{
    //! Flows of this VM that await a response of an upstream that isn't a suspect.
    int requestsInFlight = 0;

    //! Slots of the upstreams that can be given new flows.
    int slots = 0;

    //! VMs that share these upstreams, this one included.
    int members = 1;
};
}
