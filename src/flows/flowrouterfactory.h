#pragma once

#include "settings/types/flowmechanism.h"

#include <memory>

namespace radishladder::flows {
class IFlowRouter;
struct FlowDependencies;
struct FlowOptions;

//! Router for \a mechanism.
std::unique_ptr<IFlowRouter> createFlowRouter(settings::FlowMechanism mechanism,
                                              const FlowDependencies &dependencies,
                                              const FlowOptions &options);
}
