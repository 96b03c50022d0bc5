#include "app/rotationpolicy.h"

#include <algorithm>

namespace radishladder::app {
namespace {
//! First delay after which a withdrawn VM returns to rotation if it has not lost the store. Within
//! this time a disconnected VM detects that the store does not respond either.
constexpr std::chrono::milliseconds kFirstReturnDelay{4000};

//! The delay doubles, up to this value, each time the VM is withdrawn within kStableTime after its
//! last return.
constexpr std::chrono::milliseconds kMaxReturnDelay{32000};

//! Delay after which a withdrawn VM returns although the store does not respond; long, because such
//! a VM is most likely still disconnected.
constexpr std::chrono::milliseconds kReturnDelayWithoutStore{15000};

//! After this time in rotation, the next withdrawal starts again with kFirstReturnDelay.
constexpr std::chrono::milliseconds kStableTime{30000};
}

bool RotationPolicy::update(const Conditions &conditions, TimePoint now)
{
    const bool wasWithdrawn = this->isWithdrawn();
    this->evacuated = conditions.isEvacuated;
    this->updateCutOff(conditions, now);
    return this->isWithdrawn() != wasWithdrawn;
}

void RotationPolicy::updateCutOff(const Conditions &conditions, TimePoint now)
{
    if (!this->cutOff) {
        if (!conditions.isCutOff) {
            return;
        }
        const bool isFirst = !this->returnedAt || now - *this->returnedAt >= kStableTime;
        this->returnDelay =
            isFirst ? kFirstReturnDelay : std::min(this->returnDelay * 2, kMaxReturnDelay);
        this->cutOff = true;
        this->wasStoreLost = false;
        this->cutOffAt = now;
        return;
    }
    this->wasStoreLost = this->wasStoreLost || !conditions.isStoreConnected;
    if (this->canReturn(conditions, now)) {
        this->cutOff = false;
        this->returnedAt = now;
    }
}

bool RotationPolicy::canReturn(const Conditions &conditions, TimePoint now) const
{
    if (conditions.servesLocally) {
        return true;
    }
    if (!conditions.isStoreConnected) {
        return now - this->cutOffAt >= kReturnDelayWithoutStore;
    }
    return this->wasStoreLost || now - this->cutOffAt >= this->returnDelay;
}
}
