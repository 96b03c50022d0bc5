#pragma once

#include "deployment.h"

namespace review {

//! A release of a second service: its hosts are replaced one after the other, so that the VMs get
//! changes all the time.
class StockRelease
{
public:
    explicit StockRelease(Deployment &deployment) : deployment(deployment) { }

    //! Adds the hosts and begins to replace some of them; returns false if that fails.
    bool start();

private:
    std::uint64_t nextId();
    void replaceOne();

    Deployment &deployment;
    int count = 0;
};
}
