//! Runs one case: lab CASE PROGRAM FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.

#include "cases.h"

#include <cstdio>
#include <string_view>

namespace {
using review::Verdict;

Verdict runCase(std::string_view name, review::Deployment &deployment)
{
    if (name == "drain") {
        return review::runDrain(deployment);
    }
    if (name == "relay") {
        return review::runRelay(deployment);
    }
    if (name == "listing") {
        return review::runListing(deployment);
    }
    if (name == "route") {
        return review::runRoute(deployment);
    }
    if (name == "return") {
        return review::runReturn(deployment);
    }
    if (name == "stray") {
        return review::runStray(deployment);
    }
    return name == "collision" ? review::runCollision(deployment) : Verdict::NotRun;
}
}

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fputs("usage: lab CASE PROGRAM FOLDER\n", stderr);
        return 2;
    }
    review::Deployment deployment(argv[2], argv[3]);
    return static_cast<int>(runCase(argv[1], deployment));
}
