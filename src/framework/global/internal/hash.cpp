#include "global/hash.h"

#include <xxhash.h>

namespace radishladder {
std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash64(std::span<const std::uint8_t> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousScore(std::uint64_t key, std::string_view member)
{
    return hash64(member, key);
}
}
