#include "membership/internal/replaywindow.h"

namespace radishladder::membership {
bool ReplayWindow::accept(std::uint64_t counter)
{
    if (counter > this->highest) {
        const std::uint64_t shift = counter - this->highest;
        this->seen = shift >= kSpan ? std::bitset<kSpan>() : this->seen << shift;
        this->seen.set(0);
        this->highest = counter;
        return true;
    }
    const std::uint64_t age = this->highest - counter;
    // Whatever is older than the span cannot be told from a replay.
    if (age >= kSpan || this->seen.test(age)) {
        return false;
    }
    this->seen.set(age);
    return true;
}
}
