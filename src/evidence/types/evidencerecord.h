#pragma once

#include "upstreams/types/upstreamid.h"

#include <chrono>
#include <optional>

namespace radishladder::evidence {

//! What one VM reports about an upstream. All times are ages at the time of sending, so that no
//! clocks have to agree.
struct EvidenceRecord
{
    upstreams::UpstreamId upstream;

    //! Flows of the sender that are silent since the upstream's last response; 0 if the record only
    //! reports a response.
    int silentFlows = 0;

    //! Age of the start of the silence: when the first of the silent flows began to wait.
    std::chrono::milliseconds silenceAge{0};

    //! Age of the newest retransmission on a silent flow.
    std::chrono::milliseconds retransmissionAge{0};

    //! Age of the last response on a flow of the sender; std::nullopt if there was none.
    std::optional<std::chrono::milliseconds> responseAge;

    bool operator==(const EvidenceRecord &) const = default;
};
}
