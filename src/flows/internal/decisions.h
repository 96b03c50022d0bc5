#pragma once

#include "flows/types/flowdecision.h"

#include <chrono>

namespace radishladder::upstreams {
struct UpstreamRecord;
}

namespace radishladder::flows {

//! A repeat that follows sooner was not caused by silence: it waited in a queue on its way here.
inline constexpr std::chrono::milliseconds kLeastSilence{150};

FlowDecision refused(FlowAction action, ResultCode reason);
FlowDecision forwardTo(const upstreams::UpstreamRecord &upstream);
}
