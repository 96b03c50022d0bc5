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

    //! Returns true if routers have withdrawn this VM and no packet has arrived for a short time,
    //! or if the longest wait since the stop request has elapsed.
    bool canExit(TimePoint lastPacket, TimePoint now) const;

private:
    //! Longest wait after the stop request; shorter than the constructor's limit, so that time is
    //! left for the exit itself.
    std::chrono::milliseconds limit;
    bool stopping = false;
    int failedProbes = 0;
    TimePoint stopRequestedAt;
};
}
