#pragma once

#include "evidence/types/sharedsilence.h"
#include "upstreams/types/upstreamid.h"

#include <chrono>

namespace radishladder::evidence {

//! An upstream became a suspect or is one no longer; for the log.
struct SuspectChange
{
    upstreams::UpstreamId upstream;
    bool isSuspect = false;

    //! False if the upstream is no suspect any longer only because the evidence is too old.
    bool hasResponded = false;

    //! Evidence at the time of the change.
    SharedSilence silence;

    //! Last response on a flow of another VM; TimePoint() if there was none.
    std::chrono::steady_clock::time_point sharedResponse;
};
}
