#pragma once

#include "store/delaybudget.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace radishladder::distribution {

//! Decides for each prefix how long a request to a relay may take, from the age of the data that
//! this VM has; does no I/O and reads no clock.
class RelayDeadlines
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::milliseconds;

    //! Times of a request for changes.
    struct Timing
    {
        //! Longest time that the relay waits for a change.
        Duration wait{0};

        //! Longest time until the response begins, and until it has arrived completely.
        Duration timeout{0};
        Duration maxDuration{0};
    };

    //! Sets the limits of \a prefix; a prefix without limits may be as old as its relay's data is.
    void setBudget(const std::string &prefix, const store::DelayBudget &budget)
    {
        this->budgets.insert_or_assign(prefix, budget);
    }
    bool hasBudget(const std::string &prefix) const { return this->budgets.contains(prefix); }

    //! Records that this VM has all changes of \a prefix until \a time, as far as its relay or the
    //! store shows.
    void recordFresh(const std::string &prefix, TimePoint time);

    //! Returns true if changes of \a prefix can pass a relay within their limit.
    bool allowsRelays(const std::string &prefix) const;

    //! Returns true if the data of \a prefix is too old for another request to the same relay.
    bool isTooOld(const std::string &prefix, TimePoint now) const;

    //! Returns the times of a request to a relay that is to wait at most for \a wait.
    Timing timingFor(const std::string &prefix, Duration wait, TimePoint now) const;

    //! Returns the times of a request to a relay that has to respond at once.
    static Timing immediateTiming();

private:
    //! Returns the time that is left until a relay must have shown that this VM has all changes;
    //! std::nullopt if there is no limit.
    std::optional<Duration> remainingTime(const std::string &prefix, TimePoint now) const;

    std::map<std::string, store::DelayBudget> budgets;
    std::map<std::string, TimePoint> freshAt;
};
}
