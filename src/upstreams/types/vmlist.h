#pragma once

#include "global/name.h"

#include <compare>
#include <vector>

namespace radishladder::upstreams {

//! A VM as the platform lists it.
struct ListedVm
{
    VmName name;
    DataCentreName dataCentre;

    auto operator<=>(const ListedVm &) const = default;
};

//! The platform's list of VMs, by name; whether a VM is alive plays no part in it.
using VmList = std::vector<ListedVm>;
}
