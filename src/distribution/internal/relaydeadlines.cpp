#include "distribution/internal/relaydeadlines.h"

#include <algorithm>

namespace radishladder::distribution {
namespace {
using Duration = RelayDeadlines::Duration;
using store::DelayBudget;

//! Longest wait of a watch at a relay. With the margin, it bounds how long a relay that is paused
//! or unreachable delays changes.
constexpr Duration kMaxWait{1000};
constexpr Duration kTimeoutMargin{600};

//! Longest time until changes have arrived completely; bounds how long a relay whose link is
//! narrowed delays changes.
constexpr Duration kMaxDuration{2000};
}

void RelayDeadlines::recordFresh(const std::string &prefix, TimePoint time)
{
    TimePoint &fresh = this->freshAt[prefix];
    fresh = std::max(fresh, time);
}

bool RelayDeadlines::allowsRelays(const std::string &prefix) const
{
    const auto budget = this->budgets.find(prefix);
    return budget == this->budgets.end() || budget->second.allowsRelays();
}

std::optional<Duration> RelayDeadlines::remainingTime(const std::string &prefix,
                                                      TimePoint now) const
{
    const auto budget = this->budgets.find(prefix);
    if (budget == this->budgets.end()) {
        return std::nullopt;
    }
    const auto fresh = this->freshAt.find(prefix);
    const TimePoint since = fresh == this->freshAt.end() ? TimePoint() : fresh->second;
    const auto age = std::chrono::ceil<Duration>(now - since);
    return std::max(budget->second.maxAge() - age, Duration(0));
}

bool RelayDeadlines::isTooOld(const std::string &prefix, TimePoint now) const
{
    const auto remaining = this->remainingTime(prefix, now);
    return remaining && *remaining < DelayBudget::kMinRemaining;
}

RelayDeadlines::Timing RelayDeadlines::timingFor(const std::string &prefix, Duration wait,
                                                 TimePoint now) const
{
    const Duration longestWait = std::min(wait, kMaxWait);
    const auto remaining = this->remainingTime(prefix, now);
    if (!remaining) {
        return {longestWait, kMaxWait + kTimeoutMargin, kMaxDuration};
    }
    Timing timing;
    timing.wait =
        std::clamp(*remaining - DelayBudget::kRelayCall - DelayBudget::kRelayTick, Duration(0),
                   std::min(longestWait, this->budgets.at(prefix).relayWait()));
    timing.timeout = std::clamp(*remaining, DelayBudget::kRelayCall, timing.wait + kTimeoutMargin);
    timing.maxDuration = std::clamp(*remaining, DelayBudget::kRelayCall, kMaxDuration);
    return timing;
}

RelayDeadlines::Timing RelayDeadlines::immediateTiming()
{
    return {Duration(0), DelayBudget::kRelayCall, DelayBudget::kRelayCall};
}
}
