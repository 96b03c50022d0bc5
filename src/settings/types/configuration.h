#pragma once

#include "settings/types/datacentre.h"
#include "settings/types/service.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishladder::settings {

//! Configuration merged from the base file and the overlays, checked as a whole.
struct Configuration
{
    //! Increases by one with each accepted change; 0 before the first.
    std::uint64_t generation = 0;

    //! Unique identifier of the change that produced this configuration.
    std::string changeId;

    //! True while operators have frozen automatic actions.
    bool isFrozen = false;

    std::vector<DataCentre> dataCentres;
    std::vector<Service> services;

    bool operator==(const Configuration &) const = default;
};
}
