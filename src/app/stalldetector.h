#pragma once

#include <chrono>

namespace radishladder::app {

//! Tells packets that waited while this process did not run; does no I/O and reads no clock.
//!
//! Load pattern: a VM is paused for longer than routers take to turn away. Callers' repeated first
//! packets open their flows through other VMs while the earlier copies wait here.
class StallDetector
{
public:
    //! Notes that the process runs at \a sinceBoot, a time that counts suspension; call it several
    //! times a second.
    void noteAwake(std::chrono::nanoseconds sinceBoot);

    //! True if a packet that is read at the last noted time may have waited.
    bool mayHaveWaited() const { return this->lastAwake < this->doubtfulUntil; }

private:
    std::chrono::nanoseconds lastAwake{0};
    std::chrono::nanoseconds doubtfulUntil{0};
};
}
