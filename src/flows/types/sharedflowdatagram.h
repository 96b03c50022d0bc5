#pragma once

#include "flows/types/flowkey.h"
#include "flows/types/sharedflow.h"

#include <utility>
#include <vector>

namespace radishladder::flows {

//! Content of one datagram between two VMs.
struct SharedFlowDatagram
{
    //! The sender has just started and requests all flows that the receiver knows.
    bool isRequest = false;

    std::vector<std::pair<FlowKey, SharedFlow>> flows;
};
}
