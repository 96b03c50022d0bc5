#pragma once

namespace radishladder::settings {

//! Ways to spread requests over upstreams.
enum class RequestMechanism {
    //! Limits divided among the VMs, states shared.
    Shared,

    //! Fewest running requests as this VM counts them.
    LeastConnections,

    RoundRobin,
};
}
