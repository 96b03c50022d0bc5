#pragma once

#include "deployment.h"

namespace review {

//! A release of a second service: its hosts are replaced one after the other, so that the VMs get
//! changes all the time.
class StockRelease
{
public:
    explicit StockRelease(Deployment &deployment) : deployment(deployment) { }

    //! Adds \a hosts hosts and begins to replace them; returns false if that fails.
    bool start(int hosts);

private:
    std::uint64_t nextId();
    void replaceOne();

    Deployment &deployment;
    int count = 0;
};
}
