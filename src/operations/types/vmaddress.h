#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

namespace radishladder::operations {

//! Where operators reach a VM.
struct VmAddress
{
    VmName name;
    DataCentreName dataCentre;
    net::Endpoint admin;
};
}
