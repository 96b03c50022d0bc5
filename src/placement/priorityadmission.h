#pragma once

#include "placement/clientrates.h"
#include "placement/iadmissionpolicy.h"
#include "placement/synbacklog.h"

#include <optional>

namespace radishladder {
class IRandom;
}

namespace radishladder::placement {

//! Refuses a share of the SYNs of each priority that rises with the pressure on the service, the
//! least important priority first.
//!
//! Load pattern: clients open more flows than the slots of a service can process. Without refusals
//! all priorities wait in the same full queues, and both miss their target latency.
class PriorityAdmission : public IAdmissionPolicy
{
public:
    explicit PriorityAdmission(IRandom &random);

    AdmissionDecision decide(const AdmissionRequest &request,
                             std::chrono::steady_clock::time_point now) override;

private:
    struct Refusal
    {
        AdmissionResult reason;
        double share = 0;
    };

    //! Returns the share of such SYNs that is refused, and why, for the \a pressure if it is known.
    Refusal refusalFor(const AdmissionRequest &request, std::optional<double> pressure) const;
    //! Returns true with probability \a share.
    bool draw(double share);

    IRandom &random;
    ClientRates clientRates;
    SynBacklog backlog;
};
}
