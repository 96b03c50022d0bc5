#include "app/stalldetector.h"

namespace radishladder::app {
namespace {
//! Time needed to read all packets from the socket's queue after a stall.
constexpr std::chrono::milliseconds kQueueDrainTime{50};
}

void StallDetector::recordRunning(std::chrono::nanoseconds timeSinceBoot)
{
    const bool isFirst = this->lastRunningAt.count() == 0;
    if (!isFirst && timeSinceBoot - this->lastRunningAt >= this->minStall) {
        this->queueDrainedAt = timeSinceBoot + kQueueDrainTime;
    }
    this->lastRunningAt = timeSinceBoot;
}
}
