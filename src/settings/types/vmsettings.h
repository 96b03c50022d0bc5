#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <chrono>
#include <optional>
#include <vector>

namespace radishladder::settings {

//! Settings of one VM: who it is, where it listens, what binds it.
struct VmSettings
{
    VmName name;
    DataCentreName dataCentre;

    //! Receives the packets of callers; callers receive resets at this port.
    net::Endpoint packets;

    //! Answers whether this VM takes flows.
    net::Endpoint readiness;

    //! Metrics and operators' questions.
    net::Endpoint operations;

    //! Passes on to the other VMs of the data centre what the store says; std::nullopt if it does
    //! not.
    std::optional<net::Endpoint> relay;

    //! The whole system starts for the first time, and nobody waits to be served yet.
    bool firstStart = false;

    //! Relay addresses of VMs that may know what this one needs while the store does not answer.
    std::vector<net::Endpoint> seeds;

    //! The platform's store.
    net::Endpoint store;

    //! Longest time until a draining upstream gets no new flows.
    std::chrono::milliseconds drain{3000};

    //! Longest time until a configuration is in force.
    std::chrono::milliseconds configuration{3000};

    //! Longest time until a data centre that is taken out gets no packets.
    std::chrono::milliseconds evacuation{5000};

    //! Oldest flow that still counts.
    std::chrono::seconds flowMax{60};

    //! A planned stop is cut short after this time.
    std::chrono::seconds stop{6};

    //! New flows that may reach a cold upstream each second: what it bears times the overage, plus
    //! the slack.
    double warmupOverage = 1.5;
    int warmupSlack = 5;

    //! Speed of the VM's link, in Mbit/s.
    int linkMbps = 1000;

    //! Memory that the process may use, in megabytes.
    int memoryMb = 256;

    //! Off while operators want nothing to change unless a person changes it.
    bool automaticActions = true;

    //! Lines a second that decisions on flows may take in the log.
    int flowLogLines = 40;
};
}
