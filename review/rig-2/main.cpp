#include "scenarios.h"
#include "testbed.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <unistd.h>

namespace {
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

int runScenario(const std::string &name, const std::string &root, const std::string &recordPath)
{
    using Scenario = bool (*)(review::Rig &, bool);
    const std::map<std::string, Scenario> scenarios = {
        {"odd-entry", review::runOddEntry},
        {"planned-restart", review::runPlannedRestart},
        {"cold-return", review::runColdReturn},
        {"drain-behind-relay", review::runDrainBehindRelay}};
    const auto scenario = scenarios.find(name);
    if (scenario == scenarios.end()) {
        std::cerr << "unknown scenario " << name << '\n';
        return kNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    const std::filesystem::path scratch = std::filesystem::temp_directory_path()
        / ("review-" + name + "-" + std::to_string(::getpid()));
    std::filesystem::create_directories(scratch);
    review::Record record(recordPath);
    int result = kNotRun;
    {
        review::Rig rig(root, scratch.string(), record);
        if (rig.prepare() && scenario->second(rig, hasTrouble)) {
            result = rig.violations.empty() ? kHeld : kBroken;
            std::cout << (hasTrouble ? "with" : "without") << " the disruption: "
                      << (result == kHeld ? "the rule held"
                                          : "the rule was broken "
                                  + std::to_string(rig.violations.size()) + " time(s)")
                      << '\n';
        } else {
            std::cout << "could not run\n";
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(scratch);
    } else {
        std::cout << "logs: " << scratch.string() << '\n';
    }
    return result;
}
}

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: rig SCENARIO ROOT RECORD\n";
        return kNotRun;
    }
    return runScenario(argv[1], argv[2], argv[3]);
}
