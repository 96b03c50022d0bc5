#pragma once

#include <cstddef>

namespace radishladder::radishbench {

//! What callers do during a run. Shares are of what all hosts of the service bear together.
struct Load
{
    int longFlows = 200;
    double shortFlowsPerSecond = 150;

    //! Lookups and reservations at the first service.
    double requestShare = 0.3;

    //! One request in this many is a reservation.
    int reservationEvery = 4;

    //! Uploads at the second service, if there is one.
    double uploadShare = 0.05;
    std::size_t uploadBytes = 2 * 1024 * 1024;
};
}
