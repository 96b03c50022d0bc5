#pragma once

#include "placement/types/epochtable.h"
#include "placement/types/weightedmember.h"

#include <span>

namespace radishladder::placement {

//! Slots of the largest table.
inline constexpr std::uint32_t kMostSlots = 65536;

//! Table that gives \a members slots by weight and moves as few slots of \a previous as that
//! allows. Equal inputs give equal tables on every VM.
EpochTable carrySlots(const EpochTable &previous, std::span<const WeightedMember> members);

//! Slots a service with \a members upstreams gets.
std::size_t slotCount(std::size_t members);
}
