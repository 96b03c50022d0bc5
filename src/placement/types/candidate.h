#pragma once

#include <algorithm>
#include <chrono>

namespace radishladder::placement {

//! State of an upstream that a new flow may be placed on, as evaluated by this VM.
struct Candidate
{
    //! The upstream is in the data centre of this VM.
    bool isLocal = false;

    //! The upstream has just started and accepts only the few flows that the warm-up pacer grants.
    bool isCold = false;

    //! The warm-up pacer grants this VM a flow to the cold upstream now.
    bool canWarmUp = false;

    //! Several flows on the upstream are silent and it has not responded on any flow since.
    bool isSuspect = false;

    //! The upstream is a suspect that may get one probe flow, to detect whether it responds again.
    bool canProbe = false;

    //! How often the arc of upstreams that this VM prefers has to be doubled to include the
    //! upstream.
    int ring = 0;

    //! Estimated requests in flight per slot, assuming that each VM that prefers the upstream
    //! forwards as many as this one.
    double load = 0;

    //! What one more flow adds to the load; 0 where VMs prefer no subsets.
    double loadPerFlow = 0;

    //! Smoothed response time of the upstream to this VM's requests; 0 if unknown or not compared.
    std::chrono::microseconds responseTime{0};

    //! Estimated mean of the requests in flight per slot of the service's upstreams in the data
    //! centre of the upstream.
    double dataCentreLoad = 0;

    //! The load that limits on new flows apply to.
    double limitingLoad() const { return std::max(this->load, this->dataCentreLoad); }
};
}
