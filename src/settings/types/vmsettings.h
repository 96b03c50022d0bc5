#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

#include <chrono>
#include <optional>
#include <vector>

namespace radishladder::settings {

//! Settings of one VM: its identity, addresses and limits.
struct VmSettings
{
    VmName name;
    DataCentreName dataCentre;

    //! Receives the packets of clients. Resets are sent to the client's address with the port
    //! number of this endpoint.
    net::Endpoint packets;

    //! Responds to readiness probes, which check whether this VM accepts flows.
    net::Endpoint readiness;

    //! Serves metrics and the queries of operators.
    net::Endpoint operations;

    //! Relays the content of the store to the other VMs of the data centre; std::nullopt if this VM
    //! is not a relay.
    std::optional<net::Endpoint> relay;

    //! Exchanges evidence of silent upstreams with the other VMs of the data centre, which use the
    //! same port; std::nullopt if this VM uses only its own evidence.
    std::optional<net::Endpoint> peers;

    //! True at the first start of the whole system, when no clients are waiting yet. The VM then
    //! delays its start, so that it can list the content of the store through a relay.
    bool isFirstStart = false;

    //! Relay addresses of VMs from which this VM requests cached store content while the store does
    //! not respond.
    std::vector<net::Endpoint> seeds;

    //! The platform's store.
    net::Endpoint store;

    //! Longest time until an upstream that starts draining gets no more new flows.
    std::chrono::milliseconds maxDrainDelay{3000};

    //! Longest time until a new configuration is in force.
    std::chrono::milliseconds maxConfigurationDelay{3000};

    //! Longest time until an evacuated data centre gets no more packets.
    std::chrono::milliseconds maxEvacuationDelay{5000};

    //! Longest time after an outage of the store, however short, until this VM has all changes.
    std::chrono::milliseconds maxStoreRecovery{4000};

    //! Longest lifetime of a flow; the records of ended upstreams are kept for this long.
    std::chrono::seconds maxFlowLifetime{60};

    //! Longest duration of a planned stop; the process exits within this time in any case.
    std::chrono::seconds stop{6};

    //! New flows that a cold upstream may get each second: its warm-up rate times the overage, plus
    //! the slack.
    double warmupOverage = 1.5;
    int warmupSlack = 5;

    //! Speed of the VM's link, in Mbit/s; VMs with slow links are not chosen as relays.
    int linkMbps = 1000;

    //! Memory that the process may use, in megabytes.
    int memoryMb = 256;

    //! False while operators permit only manual changes: missing responses then affect no decision,
    //! as while the configuration is frozen.
    bool allowsAutomaticActions = true;

    //! Maximum number of log lines per second for decisions on flows; further lines are dropped.
    int flowLogLinesPerSecond = 40;
};

//! Returns true if \a changed has addresses that take effect only after a restart of a process that
//! runs with \a current.
bool needsRestart(const VmSettings &current, const VmSettings &changed);
}
