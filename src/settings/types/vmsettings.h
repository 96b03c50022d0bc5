#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"
#include "settings/types/flowmechanism.h"
#include "settings/types/requestmechanism.h"

#include <string>
#include <vector>

namespace radishladder::settings {

//! Settings of one VM: who it is, where it listens, whom it talks to.
struct VmSettings
{
    VmName name;
    DataCentreName dataCentre;

    //! Receives packets from the fabric; the next two ports receive packets relayed by other VMs.
    net::Endpoint data;

    //! Exchanges datagrams with the other VMs.
    net::Endpoint peer;

    //! Receives requests of callers.
    net::Endpoint requests;

    //! Health, metrics and operators' calls.
    net::Endpoint admin;

    //! Gateways of the platform's key-value service.
    std::vector<net::Endpoint> platform;

    //! Keys for datagrams between VMs, 64 hexadecimal digits each; the first signs, all are
    //! accepted.
    std::vector<std::string> peerKeys;

    //! Required for calls that change something.
    std::string adminToken;

    //! Calls that only read need no token.
    bool openReads = true;

    //! How flows are placed; all but epochs are baselines for measurements.
    FlowMechanism flowMechanism = FlowMechanism::Epochs;

    //! How requests are spread; all but shared are baselines for measurements.
    RequestMechanism requestMechanism = RequestMechanism::Shared;
};
}
