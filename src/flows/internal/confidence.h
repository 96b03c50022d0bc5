#pragma once

#include "flows/types/flowoptions.h"

#include <chrono>

namespace radishladder::membership {
class IMembership;
}

namespace radishladder::flows {

//! Whether this VM may act on its tables: not after a pause or when cut off from the majority.
class Confidence
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    Confidence(const membership::IMembership &membership, const FlowOptions &options);

    //! Notices a pause; call it for each packet.
    void observe(TimePoint now)
    {
        if (now - this->lastTick > this->options.pauseBound) {
            this->startDoubt(now);
        }
    }

    //! Asks the membership again.
    void tick(TimePoint now);

    bool isSure() const { return this->sure; }

    //! True if the doubt lasts so long, without a pause, that only a partition explains it.
    bool isCutOff(TimePoint now) const;

private:
    void startDoubt(TimePoint now);
    bool hasFreshNews() const;

    const membership::IMembership &membership;
    FlowOptions options;
    TimePoint lastTick{};
    TimePoint doubtSince{};
    bool sure = false;
};
}
