#pragma once

#include "evidence/internal/probeschedule.h"
#include "evidence/internal/reportschedule.h"
#include "evidence/internal/upstreamevidence.h"

#include <chrono>
#include <cstddef>

namespace radishladder::evidence {

//! All that SharedEvidence keeps of one upstream.
struct EvidenceEntry
{
    using TimePoint = std::chrono::steady_clock::time_point;

    UpstreamEvidence evidence;
    ReportSchedule reports;
    ProbeSchedule probes;
    TimePoint lastChange;

    //! Start of the silence for which the upstream last became a suspect.
    TimePoint silentSince;

    //! Number of members that come before this VM in probing the upstream while it is a suspect.
    std::size_t probeRank = 0;
};
}
