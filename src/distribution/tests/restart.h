#pragma once

#include "neighbourhood.h"

namespace radishladder::distribution {

//! A VM of the neighbourhood that starts anew and knows nothing, with or without the store.
inline Neighbourhood::Vm &restart(Neighbourhood &all, std::size_t index, bool isCut = false)
{
    // Calls of the ended VM may still be answered.
    all.ended.push_back(std::move(all.vms[index]));
    all.vms[index] = std::make_unique<Neighbourhood::Vm>(all, static_cast<int>(index));
    all.vms[index]->link.isCut = isCut;
    all.vms[index]->follower.start();
    return *all.vms[index];
}
}
