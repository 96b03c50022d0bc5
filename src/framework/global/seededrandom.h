#pragma once

#include "global/irandom.h"

#include <random>

namespace radishladder {

//! Pseudo-random number generator; equal seeds produce equal sequences.
class SeededRandom : public IRandom
{
public:
    explicit SeededRandom(std::uint64_t seed);

    std::uint64_t next() override;

private:
    std::mt19937_64 engine;
};
}
