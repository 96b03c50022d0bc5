#include "radishbench/testbed.h"
#include "soak/randomfaults.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <fstream>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, daemon, "build/src/app/radishladderd", "path of radishladderd");
ABSL_FLAG(std::string, seeds, "1", "soak: seeds, A,B,... or A-B; fresh:N for N random seeds");
ABSL_FLAG(std::string, regressions, "", "soak: file of seeds that failed before, one per line");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(25), "duration of a run");
ABSL_FLAG(absl::Duration, fault_every, absl::Milliseconds(800),
          "soak: mean interval between faults");
ABSL_FLAG(int, data_centres, 2, "data centres");
ABSL_FLAG(int, vms, 2, "VMs per data centre, at most 30");
ABSL_FLAG(int, upstreams, 4, "upstreams per data centre");
ABSL_FLAG(int, flows_per_second, 60, "new flows per second");
ABSL_FLAG(int, lane, 0, "0 to 63; simultaneous runs need different lanes");

namespace {
using namespace radishladder;
using radishbench::Testbed;
using radishbench::TestbedPlan;

TestbedPlan makePlan(std::uint64_t seed, bool withFaults)
{
    TestbedPlan plan;
    plan.seed = seed;
    plan.duration = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration));
    plan.dataCentres = absl::GetFlag(FLAGS_data_centres);
    plan.vmsPerDataCentre = absl::GetFlag(FLAGS_vms);
    plan.upstreamsPerDataCentre = absl::GetFlag(FLAGS_upstreams);
    plan.flowsPerSecond = absl::GetFlag(FLAGS_flows_per_second);
    plan.meanFaultInterval = withFaults
        ? absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_fault_every))
        : std::chrono::milliseconds(0);
    plan.lane = static_cast<std::uint8_t>(absl::GetFlag(FLAGS_lane));
    plan.daemonPath = absl::GetFlag(FLAGS_daemon);
    return plan;
}

//! Runs one seed and prints the results; returns false if a guarantee was violated, no request got
//! a response or the testbed could not be set up.
bool runSeed(const TestbedPlan &plan)
{
    soak::RandomFaults faults;
    const bool withFaults = plan.meanFaultInterval.count() > 0;
    Testbed testbed(plan, withFaults ? &faults : nullptr);
    std::cout << "seed " << plan.seed << std::endl;
    if (!testbed.run()) {
        std::cout << "  the testbed could not be set up\n";
        return false;
    }
    std::cout << testbed.results().text() << testbed.resources() << std::flush;
    const bool isServed = testbed.results().countOf("requests answered") > 0;
    return testbed.results().violations() == 0 && isServed;
}

std::optional<std::vector<std::uint64_t>> parseSeeds(const std::string &text)
{
    std::vector<std::uint64_t> seeds;
    if (text.starts_with("fresh:")) {
        std::random_device device;
        int count = 0;
        if (!absl::SimpleAtoi(text.substr(6), &count)) {
            return std::nullopt;
        }
        for (int i = 0; i < count; ++i) {
            seeds.push_back(device());
        }
        return seeds;
    }
    for (const auto part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const std::vector<std::string> ends = absl::StrSplit(part, '-');
        std::uint64_t first = 0;
        std::uint64_t last = 0;
        if (!absl::SimpleAtoi(ends.front(), &first) || !absl::SimpleAtoi(ends.back(), &last)) {
            return std::nullopt;
        }
        for (std::uint64_t seed = first; seed <= last; ++seed) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

void addRegressions(const std::string &path, std::vector<std::uint64_t> &seeds)
{
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::uint64_t seed = 0;
        const std::string number = line.substr(0, line.find(' '));
        if (absl::SimpleAtoi(number, &seed)) {
            seeds.push_back(seed);
        }
    }
}

int runSoak()
{
    auto seeds = parseSeeds(absl::GetFlag(FLAGS_seeds));
    if (!seeds) {
        std::cerr << "radishbench: 100 BadUsage: --seeds is A,B,... or A-B or fresh:N\n";
        return 1;
    }
    addRegressions(absl::GetFlag(FLAGS_regressions), *seeds);
    int failed = 0;
    for (const std::uint64_t seed : *seeds) {
        failed += runSeed(makePlan(seed, true)) ? 0 : 1;
    }
    std::cout << seeds->size() - static_cast<std::size_t>(failed) << " passed, " << failed
              << " failed\n";
    return failed == 0 ? 0 : 1;
}
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Runs real VMs on loopback with stand-ins of clients, upstreams and the store.\n"
        "radishbench demo | soak");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() == 2 ? arguments[1] : "";
    if (command == "demo") {
        return runSeed(makePlan(1, false)) ? 0 : 1;
    }
    if (command == "soak") {
        return runSoak();
    }
    std::cerr << "radishbench: 100 BadUsage: the command is demo or soak\n";
    return 1;
}
