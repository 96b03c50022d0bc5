#pragma once

#include "global/name.h"

#include <vector>

namespace radishladder::membership {

//! The VMs of the system that run, as the store's leases show them.
class IMembership
{
public:
    virtual ~IMembership() = default;

    //! VMs of \a dataCentre, in the order of their names; this VM is always among its own.
    virtual std::vector<VmName> members(const DataCentreName &dataCentre) const = 0;

    //! VMs of all data centres.
    virtual std::vector<VmName> allMembers() const = 0;
};
}
