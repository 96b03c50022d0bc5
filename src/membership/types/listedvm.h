#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

namespace radishladder::membership {

//! One entry of the platform's list of VMs.
struct ListedVm
{
    VmName name;
    DataCentreName dataCentre;
    net::Endpoint data;
    net::Endpoint peer;
    net::Endpoint requests;
    net::Endpoint admin;

    //! The platform is about to stop this VM.
    bool leaving = false;

    bool operator==(const ListedVm &) const = default;
};
}
