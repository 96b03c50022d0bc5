#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace radishladder::placement {

//! Counts the flows that each client address opened in the last seconds, for a bounded number of
//! addresses.
//!
//! Load pattern: one client opens flows in a loop. Without a limit of its own it gets most of what
//! is admitted of its priority.
class ClientRates
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void recordOpened(std::uint32_t address, TimePoint now);

    //! Returns true if \a address opened more than ten times as many flows as the mean of the
    //! other addresses.
    bool isExcessive(std::uint32_t address) const;

    std::size_t size() const { return this->counts.size(); }

private:
    void decay(TimePoint now);

    std::unordered_map<std::uint32_t, double> counts;
    double total = 0;
    TimePoint decayedAt;
};
}
