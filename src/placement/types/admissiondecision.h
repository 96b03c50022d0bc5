#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace radishladder::placement {

//! Whether a SYN is admitted, and why not.
enum class AdmissionResult : std::uint8_t {
    Admitted,
    LoadUnknown, //!< too few responses for a decision
    RefusedByRank,
    RefusedAsLate, //!< a retransmission that can no longer meet the target latency
    RefusedByClient, //!< its client opens many more flows than others
};

//! Returns the name of \a result in logs and metrics.
std::string_view admissionResultName(AdmissionResult result);

//! Decision on the admission of a SYN, and the figures that it follows from.
struct AdmissionDecision
{
    AdmissionResult result = AdmissionResult::Admitted;
    int rank = 0;
    double pressure = 0;

    //! Share of such SYNs that are refused at present.
    double refusedShare = 0;

    //! Figures of the estimate of the load, and its age.
    std::chrono::milliseconds responseTime{0};
    double requestsPerSlot = 0;
    std::chrono::milliseconds loadAge{0};

    bool isRefused() const
    {
        return this->result != AdmissionResult::Admitted
            && this->result != AdmissionResult::LoadUnknown;
    }
};
}
