#pragma once

#include "flows/internal/flowrecord.h"

#include <array>

namespace radishladder::flows {

//! Who is home of a key, and whether this VM knows enough to answer for it.
struct HomeView
{
    //! Best ranked VMs, this one included.
    std::array<PeerId, 4> ranks{kNoPeer, kNoPeer, kNoPeer, kNoPeer};

    //! This VM ranks first.
    bool isHome = false;

    //! This VM is home and has taken over whatever its predecessor knew.
    bool isSettled = false;

    //! This VM was a settled home until a moment ago.
    bool wasSettled = false;

    //! VM to ask while this one is not settled.
    PeerId ask = kNoPeer;
};
}
