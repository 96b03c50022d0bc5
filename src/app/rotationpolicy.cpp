#include "app/rotationpolicy.h"

#include <algorithm>

namespace radishladder::app {
namespace {
//! Time in which a VM that is cut off finds out that the store does not answer either.
constexpr std::chrono::milliseconds kFirstPause{4000};
constexpr std::chrono::milliseconds kLongestPause{32000};

//! While the store does not answer, the VM is most likely still cut off.
constexpr std::chrono::milliseconds kPauseWithoutStore{15000};

//! A VM that has served for so long begins anew with the first pause.
constexpr std::chrono::milliseconds kRecovered{30000};
}

bool RotationPolicy::judge(const Surroundings &surroundings, TimePoint now)
{
    if (!this->out) {
        if (!surroundings.isOutOfReach) {
            return false;
        }
        const bool isFirst = now - this->returnedAt >= kRecovered;
        this->pause = isFirst ? kFirstPause : std::min(this->pause * 2, kLongestPause);
        this->out = true;
        this->lostStore = false;
        this->leftAt = now;
        return true;
    }
    this->lostStore = this->lostStore || !surroundings.hasStore;
    if (!this->mayReturn(surroundings, now)) {
        return false;
    }
    this->out = false;
    this->returnedAt = now;
    return true;
}

bool RotationPolicy::mayReturn(const Surroundings &surroundings, TimePoint now) const
{
    if (surroundings.servesLocally) {
        return true;
    }
    if (!surroundings.hasStore) {
        return now - this->leftAt >= kPauseWithoutStore;
    }
    return this->lostStore || now - this->leftAt >= this->pause;
}
}
