#include "store/eratracker.h"

namespace radishladder::store {
bool EraTracker::accept(std::uint64_t era)
{
    if (this->isOutdated(era)) {
        return false;
    }
    if (era == this->newest) {
        return true;
    }
    const std::optional<std::uint64_t> old = this->newest;
    this->newest = era;
    if (old) {
        for (const Listener &listener : this->listeners) {
            listener(*old, era);
        }
    }
    return true;
}

std::string EraTracker::rejectionDetail(std::uint64_t era) const
{
    return "response of era " + std::to_string(era) + ", but the store is in era "
        + std::to_string(this->newest.value_or(0));
}
}
