#pragma once

#include "settings/types/configuration.h"
#include "settings/types/vmsettings.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace radishladder::radishbench {

//! Addresses, sizes and delays of one run on 127.NETWORK.0.0/16.
struct Deployment
{
    std::string name;
    settings::Configuration configuration;

    //! The VMs as they are started.
    std::vector<settings::VmSettings> vms;

    //! The same with the addresses that the platform's list names for traffic between VMs.
    std::vector<settings::VmSettings> listedVms;

    net::Endpoint store;
    net::Endpoint fabric;
    std::vector<std::uint32_t> callers;
    std::uint32_t requestCaller = 0;

    //! One-way delays.
    std::chrono::microseconds betweenDataCentres{0};
    std::chrono::microseconds toCallers{0};

    //! Time a request takes on a slot of the first service (lookups, reservations) and the second
    //! (uploads).
    std::chrono::milliseconds requestTime{20};
    std::chrono::milliseconds uploadTime{100};
};

//! What a deployment is made of besides its name.
struct DeploymentOptions
{
    int network = 1;

    //! Entry VMs; the deployment's own number without it.
    std::optional<int> vms;
    settings::FlowMechanism flowMechanism = settings::FlowMechanism::Epochs;
    settings::RequestMechanism requestMechanism = settings::RequestMechanism::Shared;
};

//! Builds "small", "kozmu" or "lexikonsedel"; std::nullopt for any other name.
std::optional<Deployment> makeDeployment(const std::string &name, const DeploymentOptions &options);
}
