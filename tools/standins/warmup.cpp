#include "standins/warmup.h"

#include <algorithm>
#include <utility>

namespace radishladder::standins {
namespace {
constexpr int kAnswersForSlot = 10;
constexpr int kColdFlowsPerSecond = 20;
constexpr std::chrono::seconds kWindow{1};
}

void WarmUp::turnCold()
{
    this->proven = 0;
    this->newFlows.clear();
}

bool WarmUp::isWarm() const
{
    return this->proven >= kAnswersUntilWarm;
}

int WarmUp::requestsBorne(int slots) const
{
    return this->isWarm() ? slots : std::min(slots, 1 + this->proven / kAnswersForSlot);
}

bool WarmUp::takeFlow(TimePoint now)
{
    if (this->isWarm()) {
        return true;
    }
    while (!this->newFlows.empty() && this->newFlows.front() + kWindow <= now) {
        this->newFlows.pop_front();
    }
    this->newFlows.push_back(now);
    const int allowed = kColdFlowsPerSecond + this->proven;
    return std::cmp_less_equal(this->newFlows.size(), allowed);
}

void WarmUp::proveAnswer()
{
    if (!this->isWarm()) {
        ++this->proven;
    }
}
}
