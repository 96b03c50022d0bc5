#pragma once

#include <chrono>

namespace radishladder::app {

//! Decides when the process may exit after a stop request; does no I/O and reads no clock.
class StopPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! The process must exit within \a limit after the stop request.
    explicit StopPolicy(std::chrono::milliseconds limit);

    void requestStop(TimePoint now);

    //! Records that the response to a readiness probe was "not ready".
    void recordFailedProbe() { ++this->failedProbes; }

    bool isStopping() const { return this->stopping; }

    //! Returns true if routers have withdrawn this VM, or if the time to wait for that has elapsed.
    bool canExit(TimePoint lastPacket, TimePoint now) const;

private:
    std::chrono::milliseconds limit;
    bool stopping = false;
    int failedProbes = 0;
    TimePoint stopRequestedAt;
};
}
