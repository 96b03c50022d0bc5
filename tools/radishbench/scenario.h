#pragma once

#include "radishbench/types/load.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace radishladder::radishbench {
struct Deployment;

//! A load and the faults that meet it.
struct Scenario
{
    std::string name;
    std::string description;
    std::string deployment = "kozmu";
    std::chrono::milliseconds duration{20000};
    Load load;

    //! Faults as on the command line; empty for none.
    std::function<std::vector<std::string>(const Deployment &)> faults;
};

//! All scenarios in the order of `radishbench list`.
const std::vector<Scenario> &scenarios();

//! nullptr if there is none called \a name.
const Scenario *findScenario(const std::string &name);
}
