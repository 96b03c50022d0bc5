#pragma once

#include <chrono>
#include <cstdint>

namespace radishladder::placement {

//! Detects from the retransmissions among the received SYNs that clients have waited for VMs.
//!
//! Load pattern: all VMs lost power, or those of a data centre. When they are back, the SYNs of all
//! clients that waited arrive within a second, before any response shows how full the upstreams
//! are.
class SynBacklog
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Records a SYN that was sent \a retransmissions times before.
    void recordSyn(std::uint32_t retransmissions, TimePoint now);

    //! Returns true while retransmissions are a large part of the SYNs.
    bool isPresent() const;

private:
    //! Numbers of SYNs, decayed until lastSyn.
    double firstTransmissions = 0;
    double retransmissions = 0;
    TimePoint lastSyn;
};
}
