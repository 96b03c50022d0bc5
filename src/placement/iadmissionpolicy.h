#pragma once

#include "placement/types/admissiondecision.h"

#include <chrono>

namespace radishladder::placement {
struct AdmissionRequest;

//! Decides whether a SYN to a service whose routes differ in priority is forwarded; does no I/O and
//! reads no clock.
class IAdmissionPolicy
{
public:
    virtual ~IAdmissionPolicy() = default;

    virtual AdmissionDecision decide(const AdmissionRequest &request,
                                     std::chrono::steady_clock::time_point now) = 0;
};
}
