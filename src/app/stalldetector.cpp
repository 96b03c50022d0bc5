#include "app/stalldetector.h"

namespace radishladder::app {
namespace {
//! Routers turn away after two probes half a second apart.
constexpr std::chrono::milliseconds kStall{1000};

//! Time to empty the socket's queue after a stall.
constexpr std::chrono::milliseconds kEmptying{50};
}

void StallDetector::noteAwake(std::chrono::nanoseconds sinceBoot)
{
    const bool isFirst = this->lastAwake.count() == 0;
    if (!isFirst && sinceBoot - this->lastAwake >= kStall) {
        this->doubtfulUntil = sinceBoot + kEmptying;
    }
    this->lastAwake = sinceBoot;
}
}
