#pragma once

#include "global/name.h"
#include "membership/types/memberstate.h"
#include "net/types/endpoint.h"

#include <chrono>
#include <cstdint>

namespace radishladder::membership {

//! One VM of the system as this VM sees it.
struct Member
{
    VmName name;
    DataCentreName dataCentre;
    net::Endpoint data;
    net::Endpoint peer;
    net::Endpoint requests;
    net::Endpoint admin;

    MemberState state = MemberState::Alive;

    //! Grows with each start of the VM and whenever it refutes a suspicion.
    std::uint64_t incarnation = 0;

    //! First incarnation of the VM's running process; 0 until it was heard.
    std::uint64_t start = 0;

    std::chrono::steady_clock::time_point lastHeard{};

    //! Configuration generation the VM has reported.
    std::uint64_t generation = 0;

    //! Store revision up to which the VM has reported to know all documents.
    std::int64_t documentRevision = 0;

    //! Store revision of the newest document the VM has reported to hold.
    std::int64_t newestDocument = 0;

    //! Store revision of the list of VMs that the VM has reported to use.
    std::int64_t vmListRevision = 0;
};
}
