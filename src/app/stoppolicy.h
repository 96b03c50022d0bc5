#pragma once

#include <chrono>

namespace radishladder::app {

//! Decides when a VM that was asked to stop may end; does no I/O and reads no clock.
class StopPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! The process must end by \a limit after it was asked to.
    explicit StopPolicy(std::chrono::milliseconds limit);

    void askToStop(TimePoint now);

    //! A readiness probe was answered with "not ready".
    void noteProbeRefused() { ++this->refusedProbes; }

    bool isStopping() const { return this->stopping; }

    //! True if routers have turned away, or if waiting longer would not help.
    bool mayEnd(TimePoint lastPacket, TimePoint now) const;

private:
    std::chrono::milliseconds limit;
    bool stopping = false;
    int refusedProbes = 0;
    TimePoint askedAt;
};
}
