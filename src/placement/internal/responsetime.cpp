#include "placement/responsetime.h"

#include <algorithm>

namespace radishladder::placement {
namespace {
//! Weight of a latest response that was longer or shorter, as a divisor. A fast response shows
//! more: slow upstreams send none, while any upstream executes some slow requests.
constexpr int kRise = 5;
constexpr int kFall = 2;

//! Shorter response times differ by network latency more than by the upstreams.
constexpr std::chrono::microseconds kMinComparedTime{5000};

constexpr double kMaxSlowness = 8;
}

std::chrono::microseconds smoothResponseTime(std::chrono::microseconds smoothed,
                                             std::chrono::microseconds latest)
{
    if (smoothed.count() == 0) {
        return std::max(latest, kMinComparedTime);
    }
    // A single slow request must not make its upstream look slow.
    const auto bounded = std::min(latest, 2 * smoothed);
    const int divisor = bounded > smoothed ? kRise : kFall;
    return std::max(smoothed + (bounded - smoothed) / divisor, kMinComparedTime);
}

double slownessOf(std::chrono::microseconds time, std::chrono::microseconds fastest)
{
    // Powers of two, because upstreams of the same speed must tie: those that happened to have the
    // shortest response times would get most flows of all VMs that share them.
    double slowness = 1;
    if (fastest.count() == 0) {
        return slowness;
    }
    while (slowness < kMaxSlowness && time >= fastest * 2 * static_cast<int>(slowness)) {
        slowness *= 2;
    }
    return slowness;
}
}
