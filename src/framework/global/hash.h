#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace radishladder {

//! Returns a 64-bit hash of the input; every VM computes the same value.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);
std::uint64_t hash64(std::span<const std::uint8_t> bytes, std::uint64_t seed = 0);

//! Returns the rendezvous hashing score of \a member for \a key; the member with the highest score
//! ranks first.
std::uint64_t rendezvousScore(std::uint64_t key, std::string_view member);
}
