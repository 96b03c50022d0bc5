#pragma once

#include "global/name.h"

namespace radishladder {
class IClock;
}
namespace radishladder::membership {
class IMembership;
class IPeerTransport;
}
namespace radishladder::placement {
class IPlacement;
}
namespace radishladder::settings {
class IConfigurationSource;
}
namespace radishladder::telemetry {
class IMetrics;
}
namespace radishladder::upstreams {
class IUpstreams;
}

namespace radishladder::flows {

//! What the flow path works with; everything outlives it.
struct FlowDependencies
{
    placement::IPlacement &placement;
    membership::IMembership &membership;
    membership::IPeerTransport &transport;
    upstreams::IUpstreams &upstreams;
    settings::IConfigurationSource &configuration;
    telemetry::IMetrics &metrics;
    const IClock &clock;

    //! Data centre of this VM.
    DataCentreName dataCentre;
};
}
