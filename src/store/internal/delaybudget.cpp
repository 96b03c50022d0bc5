#include "store/delaybudget.h"

#include <algorithm>

namespace radishladder::store {
namespace {
using Duration = DelayBudget::Duration;

constexpr double kDirectPauseFraction = 0.4;

constexpr Duration kMaxRelayWait{1000};

//! With shorter waits, requests to relays would take more processor time than they save.
constexpr Duration kMinRelayWait{200};

constexpr Duration kMaxRenewInterval{2000};
constexpr Duration kMinRenewInterval{200};
}

Duration DelayBudget::directPause() const
{
    return std::chrono::duration_cast<Duration>(this->limit * kDirectPauseFraction);
}

Duration DelayBudget::relayPause() const
{
    // Two equal parts, since the data of a relay is as old as one renewal interval when its pause
    // begins, and older by the pause when it ends.
    const Duration available = this->maxAge() - kMinRemaining - kAgeStep - 2 * kRelayCall;
    return std::clamp(available / 2, Duration(0), this->directPause());
}

Duration DelayBudget::renewInterval() const
{
    return std::clamp(this->relayPause(), kMinRenewInterval, kMaxRenewInterval);
}

Duration DelayBudget::relayWait() const
{
    const Duration available =
        this->maxAge() - kMinRemaining - this->renewInterval() - kAgeStep - kRelayCall;
    return std::clamp(available, Duration(0), kMaxRelayWait);
}

Duration DelayBudget::maxAge() const
{
    return std::max(this->limit - kPeerPause - kRelayCall - kStoreCall, Duration(0));
}

bool DelayBudget::allowsRelays() const
{
    return this->longestRelayAge() <= this->maxAge() - kMinRemaining
        && this->relayWait() >= kMinRelayWait;
}

Duration DelayBudget::longestDirect() const
{
    return this->directPause() + kStoreCall;
}

Duration DelayBudget::longestThroughRelay() const
{
    return this->maxAge() + kPeerPause + kRelayCall + kStoreCall;
}

Duration DelayBudget::longestRelayAge() const
{
    return this->renewInterval() + this->relayPause() + kRelayCall + kAgeStep;
}
}
