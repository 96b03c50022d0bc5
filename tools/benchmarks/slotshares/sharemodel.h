#pragma once

#include "global/seededrandom.h"

#include <cstdint>
#include <vector>

namespace radishladder::benchmarks {

//! Ways to divide the slots of the upstreams among the VMs.
enum class SharePolicy : std::uint8_t {
    //! A request waits at the VM where it arrived.
    Fixed,

    //! A request that finds no free slot of its VM is handed to another VM, once.
    FixedHandOver,

    //! The same, but only once as many requests wait as the VM has slots.
    FixedHandOverLate,

    //! A VM that runs out borrows an idle slot by message and gives it back after a lease.
    Lent,
};

//! One run of the model.
struct ShareCase
{
    SharePolicy policy = SharePolicy::Fixed;
    int vms = 3;
    double load = 1.0;

    //! Share of the requests that arrive at the first VM beyond its even share.
    double skew = 0;
    std::uint64_t seed = 1;
};

struct ShareResult
{
    double goodput = 0;
    double refused = 0;
    double messagesPerRequest = 0;

    //! Requests that met a host with all slots in use.
    int overloads = 0;
};

//! Fourteen hosts with three slots under Poisson-like arrivals in virtual time.
ShareResult runShareModel(const ShareCase &wanted);
}
