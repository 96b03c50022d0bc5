#include "membership/internal/progresslog.h"

#include <algorithm>

namespace radishladder::membership {
void ProgressLog::note(std::int64_t revision, TimePoint now)
{
    if (!this->steps.empty() && revision <= this->steps.back().revision) {
        return;
    }
    this->steps.push_back({revision, now});
    if (this->steps.size() > kKeptSteps) {
        // The next step stands for the dropped one: its time is later, which only delays an answer.
        this->steps.pop_front();
    }
}

std::optional<ProgressLog::TimePoint> ProgressLog::reachedAt(std::int64_t revision) const
{
    const auto step = std::ranges::lower_bound(this->steps, revision, {}, &Step::revision);
    return step == this->steps.end() ? std::nullopt : std::make_optional(step->at);
}
}
