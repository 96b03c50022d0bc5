#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"

namespace radishladder::placement {

//! An upstream that an epoch document refers to, so that a VM can serve its flows after the
//! configuration dropped it.
struct EpochMember
{
    UpstreamName name;
    DataCentreName dataCentre;
    net::Endpoint tunnel;

    bool operator==(const EpochMember &) const = default;
};
}
