#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace radishladder::standins {

//! What a host bears after it has started or turned cold, until proven answers have warmed it up.
class WarmUp
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void turnCold();
    bool isWarm() const;

    //! Requests it bears at once out of \a slots.
    int requestsBorne(int slots) const;

    //! Counts a new flow; false if the last second brought more than it bears.
    bool takeFlow(TimePoint now);

    //! An answer was given in full.
    void proveAnswer();

private:
    static constexpr int kAnswersUntilWarm = 40;

    int proven = kAnswersUntilWarm;
    std::deque<TimePoint> newFlows;
};
}
