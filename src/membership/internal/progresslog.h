#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace radishladder::membership {

//! When a VM reported to have reached which revision.
class ProgressLog
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void note(std::int64_t revision, TimePoint now);

    //! When \a revision or a later one was first reported; std::nullopt if not yet.
    std::optional<TimePoint> reachedAt(std::int64_t revision) const;

    void clear() { this->steps.clear(); }

private:
    static constexpr std::size_t kKeptSteps = 64;

    struct Step
    {
        std::int64_t revision = 0;
        TimePoint at{};
    };

    std::deque<Step> steps;
};
}
