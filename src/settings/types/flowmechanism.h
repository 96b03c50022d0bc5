#pragma once

namespace radishladder::settings {

//! Ways to find the upstream of a flow.
enum class FlowMechanism {
    //! Agreed tables, homes for contested slots.
    Epochs,

    //! Hash over the upstreams that this VM believes in.
    Hash,

    //! The same, with a local cache of seen flows.
    HashCache,

    //! Every packet goes through the flow's home VM.
    Home,
};
}
