#pragma once

#include <chrono>

namespace radishladder::app {

//! Detects packets that waited in the socket's queue while this process did not run; does no I/O
//! and reads no clock.
//!
//! Load pattern: a VM is paused for longer than routers need to withdraw it. Clients open their
//! flows with retransmitted SYNs through other VMs while the original SYNs wait in the queue of
//! this VM.
class StallDetector
{
public:
    //! A pause of \a minStall or longer counts as a stall.
    explicit StallDetector(std::chrono::milliseconds minStall = kDefaultMinStall)
        : minStall(minStall)
    { }

    //! Records that the process runs at \a timeSinceBoot, a time since boot that includes
    //! suspension; must be called several times per second.
    void recordRunning(std::chrono::nanoseconds timeSinceBoot);

    //! Returns true if a packet that is read at the last recorded time may have waited during a
    //! pause.
    bool mayHaveBeenQueued() const { return this->lastRunningAt < this->queueDrainedAt; }

private:
    //! Routers withdraw a VM after two failed probes half a second apart.
    static constexpr std::chrono::milliseconds kDefaultMinStall{1000};

    std::chrono::milliseconds minStall;
    std::chrono::nanoseconds lastRunningAt{0};
    std::chrono::nanoseconds queueDrainedAt{0};
};
}
