#pragma once

#include "global/name.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishladder::operations {

//! Another VM as the answering VM sees it.
struct MemberStatus
{
    VmName name;
    DataCentreName dataCentre;
    std::string state;
    std::uint64_t generation = 0;

    bool operator==(const MemberStatus &) const = default;
};

//! An upstream as the answering VM sees it.
struct UpstreamStatus
{
    UpstreamName name;
    ServiceName service;
    std::string state;

    bool operator==(const UpstreamStatus &) const = default;
};

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
