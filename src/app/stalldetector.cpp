#include "app/stalldetector.h"

namespace radishladder::app {
namespace {
//! Shortest pause that counts as a stall: routers withdraw a VM after two failed probes half a
//! second apart.
constexpr std::chrono::milliseconds kMinStall{1000};

//! Time needed to read all packets from the socket's queue after a stall.
constexpr std::chrono::milliseconds kQueueDrainTime{50};
}

void StallDetector::recordRunning(std::chrono::nanoseconds timeSinceBoot)
{
    const bool isFirst = this->lastRunningAt.count() == 0;
    if (!isFirst && timeSinceBoot - this->lastRunningAt >= kMinStall) {
        this->queueDrainedAt = timeSinceBoot + kQueueDrainTime;
    }
    this->lastRunningAt = timeSinceBoot;
}
}
