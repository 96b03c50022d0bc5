#include "global/seededrandom.h"

namespace radishladder {
SeededRandom::SeededRandom(std::uint64_t seed) : engine(seed) { }

std::uint64_t SeededRandom::next()
{
    return this->engine();
}
}
