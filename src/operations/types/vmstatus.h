#pragma once

#include "global/name.h"
#include "operations/types/memberstatus.h"
#include "operations/types/upstreamstatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishladder::operations {

//! What a VM tells operators of itself.
struct VmStatus
{
    VmName vm;
    DataCentreName dataCentre;

    //! Configuration in force on the VM.
    std::uint64_t generation = 0;
    std::string changeId;

    //! Store revision up to which the VM knows all documents.
    std::int64_t documentRevision = 0;

    //! The VM hears a majority of the VMs.
    bool confident = false;
    bool freeze = false;
    std::vector<MemberStatus> members;
    std::vector<UpstreamStatus> upstreams;

    bool operator==(const VmStatus &) const = default;
};
}
