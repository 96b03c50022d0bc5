#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace radishladder::radishbench {

//! What can be done to a run.
enum class FaultKind {
    VmKill,
    VmStop,
    VmStart,
    VmPause,
    RollingRestart,
    UpstreamDrain,
    UpstreamUndrain,
    UpstreamCold,
    UpstreamKill,
    UpstreamStart,
    UpstreamShed,
    StoreDown,
    StoreSlow,
    StoreLoseAnswers,
    Partition,
    PlatformCut,
    DataCentreOut,
    DataCentreIn,
    ConfigChange,
    PacketLoss,
    PacketDuplicate,
    PacketReorder,
};

//! One fault of a run.
struct Fault
{
    FaultKind kind = FaultKind::VmKill;

    //! Time after the load began.
    std::chrono::milliseconds at{0};

    //! VM, upstream or data centre.
    std::string target;

    //! The other side of a partition.
    std::string otherTarget;

    //! Share of packets, 0 to 1.
    double share = 0;

    //! Delay of each answer of a slow store.
    std::chrono::milliseconds delay{0};

    //! After this it ends by itself; without it the fault lasts.
    std::optional<std::chrono::milliseconds> length;

    //! As written on the command line.
    std::string text;
};
}
