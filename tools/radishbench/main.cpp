#include "radishbench/world.h"
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
ABSL_FLAG(std::string, seeds, "1", "soak: seeds, A,B,... or A-B; fresh:N for N new ones");
ABSL_FLAG(std::string, regressions, "", "soak: file of seeds that failed once, one a line");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(25), "length of a run");
ABSL_FLAG(absl::Duration, fault_every, absl::Milliseconds(800), "soak: mean pause between faults");
ABSL_FLAG(int, data_centres, 2, "data centres");
ABSL_FLAG(int, vms, 2, "VMs a data centre, at most 30");
ABSL_FLAG(int, upstreams, 4, "upstreams a data centre");
ABSL_FLAG(int, flows_per_second, 60, "new flows a second");
ABSL_FLAG(int, lane, 0, "0 to 63; runs side by side need different ones");

namespace {
using namespace radishladder;
using radishbench::World;
using radishbench::WorldPlan;

WorldPlan planOf(std::uint64_t seed, bool withFaults)
{
    WorldPlan plan;
    plan.seed = seed;
    plan.lasts = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration));
    plan.dataCentres = absl::GetFlag(FLAGS_data_centres);
    plan.vmsPerDataCentre = absl::GetFlag(FLAGS_vms);
    plan.upstreamsPerDataCentre = absl::GetFlag(FLAGS_upstreams);
    plan.flowsPerSecond = absl::GetFlag(FLAGS_flows_per_second);
    plan.faultEvery = withFaults ? absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_fault_every))
                                 : std::chrono::milliseconds(0);
    plan.lane = static_cast<std::uint8_t>(absl::GetFlag(FLAGS_lane));
    plan.program = absl::GetFlag(FLAGS_daemon);
    return plan;
}

//! Plays one run and prints what was seen; false if a promise did not hold.
bool playOne(const WorldPlan &plan)
{
    soak::RandomFaults faults;
    const bool withFaults = plan.faultEvery.count() > 0;
    World world(plan, withFaults ? &faults : nullptr);
    std::cout << "seed " << plan.seed << std::endl;
    if (!world.play()) {
        std::cout << "  the world could not be set up\n";
        return false;
    }
    std::cout << world.verdicts().text() << world.resources() << std::flush;
    const bool isServed = world.verdicts().counted("requests answered") > 0;
    return world.verdicts().broken() == 0 && isServed;
}

std::optional<std::vector<std::uint64_t>> seedsOf(const std::string &text)
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

int playSoak()
{
    auto seeds = seedsOf(absl::GetFlag(FLAGS_seeds));
    if (!seeds) {
        std::cerr << "radishbench: 100 BadUsage: --seeds is A,B,... or A-B or fresh:N\n";
        return 1;
    }
    addRegressions(absl::GetFlag(FLAGS_regressions), *seeds);
    int failed = 0;
    for (const std::uint64_t seed : *seeds) {
        failed += playOne(planOf(seed, true)) ? 0 : 1;
    }
    std::cout << seeds->size() - static_cast<std::size_t>(failed) << " passed, " << failed
              << " failed\n";
    return failed == 0 ? 0 : 1;
}
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Real VMs on loopback between stand-ins.\n"
                                 "radishbench demo | soak");
    const auto words = absl::ParseCommandLine(argc, argv);
    const std::string verb = words.size() == 2 ? words[1] : "";
    if (verb == "demo") {
        return playOne(planOf(1, false)) ? 0 : 1;
    }
    if (verb == "soak") {
        return playSoak();
    }
    std::cerr << "radishbench: 100 BadUsage: the verb is demo or soak\n";
    return 1;
}
