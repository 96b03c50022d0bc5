#pragma once

#include <compare>
#include <cstdint>

namespace radishladder::store {

//! Revision of the store together with its era, which rises by one each time the store is restored
//! from an older copy. Revisions are given out again after a restore, so only revisions with their
//! eras can be compared.
struct StoreRevision
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const StoreRevision &other) const = default;

    bool hasOlderEraThan(const StoreRevision &other) const { return this->era < other.era; }
    bool hasEraOf(const StoreRevision &other) const { return this->era == other.era; }
};

//! Highest era of a store that was never restored: the first era is 1, and a store that sends no
//! era has era 0.
inline constexpr std::uint64_t kMaxUnrestoredEra = 1;
}
