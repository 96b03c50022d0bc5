#pragma once

#include <string>
#include <vector>

namespace radishladder::radishbench {
struct Measures;
struct RunTraits;

//! A measure beside what the promises allow.
struct Bound
{
    std::string name;
    double bound = 0;
    double value = 0;
    bool holds = false;
};

//! The bounds that apply to a run with \a traits.
std::vector<Bound> judge(const Measures &measures, const RunTraits &traits);
}
