#pragma once

#include "testdatacentre.h"

namespace radishladder::distribution {

//! Restarts a VM of the data centre with empty state; \a isCut cuts its link to the store.
inline TestDataCentre::Vm &restart(TestDataCentre &dataCentre, std::size_t index,
                                   bool isCut = false)
{
    // Pending calls of the ended VM may still get a response.
    dataCentre.ended.push_back(std::move(dataCentre.vms[index]));
    dataCentre.vms[index] =
        std::make_unique<TestDataCentre::Vm>(dataCentre, static_cast<int>(index));
    dataCentre.vms[index]->link.isCut = isCut;
    dataCentre.vms[index]->follower.start();
    return *dataCentre.vms[index];
}
}
