#include "radishbench/faultparser.h"
#include "radishbench/report.h"
#include "radishbench/runcommand.h"
#include "radishbench/scenario.h"
#include "radishbench/slopes.h"
#include "radishbench/types/runoptions.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace radishladder::radishbench {
//! A flag that may be given several times.
struct FaultTexts
{
    std::vector<std::string> texts;
};

// Abseil finds the two by these names.
// NOLINTBEGIN(readability-identifier-naming)
bool AbslParseFlag(absl::string_view text, FaultTexts *faults, std::string * /*error*/);
std::string AbslUnparseFlag(const FaultTexts &faults);
// NOLINTEND(readability-identifier-naming)

// Abseil sets a flag anew for each occurrence, so earlier ones are kept here.
bool AbslParseFlag(absl::string_view text, FaultTexts *faults, std::string * /*error*/)
{
    static std::vector<std::string> collected;
    if (!text.empty()) {
        collected.emplace_back(text);
    }
    faults->texts = collected;
    return true;
}

std::string AbslUnparseFlag(const FaultTexts &faults)
{
    std::string text;
    for (const std::string &each : faults.texts) {
        text += (text.empty() ? "" : " ") + each;
    }
    return text;
}
}

ABSL_FLAG(std::uint64_t, seed, 1, "seed of every random choice");
ABSL_FLAG(absl::Duration, duration, absl::ZeroDuration(), "time under load; 0: the scenario's own");
ABSL_FLAG(int, vms, 0, "entry VMs; 0: the deployment's own number");
ABSL_FLAG(int, network, 1, "second number of the loopback addresses, 1 to 254");
ABSL_FLAG(std::string, deployment, "", "small, kozmu or lexikonsedel; empty: the scenario's own");
ABSL_FLAG(std::string, flow_mechanism, "epochs", "epochs, hash, hash-cache or home");
ABSL_FLAG(std::string, request_mechanism, "shared", "shared, least-connections or round-robin");
ABSL_FLAG(radishladder::radishbench::FaultTexts, fault, {},
          "KIND@TIME[:TARGET][/LENGTH], besides the scenario's own; may be given several times");
ABSL_FLAG(std::string, format, "json", "json or table");
ABSL_FLAG(std::string, trace, "", "file for the events of the run, one JSON object a line");
ABSL_FLAG(std::string, log_directory, "", "directory that keeps the daemons' logs");
ABSL_FLAG(std::string, directory, "docs", "where report writes RESULTS.md and results/*.svg");
ABSL_FLAG(std::string, commit, "not stated", "commit that the runs were made at, for report");
ABSL_FLAG(std::string, daemon, "",
          "path of radishladderd; default: the one built beside this program");

namespace {
using namespace radishladder::radishbench;

std::string daemonPath()
{
    if (!absl::GetFlag(FLAGS_daemon).empty()) {
        return absl::GetFlag(FLAGS_daemon);
    }
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path().parent_path().parent_path() / "src/app/radishladderd").string();
}

template <typename Value>
std::optional<Value> unlessDefault(const Value &value, const Value &standard)
{
    return value == standard ? std::nullopt : std::make_optional(value);
}

RunOptions runOptions(const std::string &scenario)
{
    const auto duration = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration));
    return {
        .daemon = daemonPath(),
        .scenario = scenario,
        .deployment = unlessDefault(absl::GetFlag(FLAGS_deployment), std::string()),
        .seed = absl::GetFlag(FLAGS_seed),
        .duration = unlessDefault(duration, std::chrono::milliseconds(0)),
        .vms = unlessDefault(absl::GetFlag(FLAGS_vms), 0),
        .network = absl::GetFlag(FLAGS_network),
        .flowMechanism = absl::GetFlag(FLAGS_flow_mechanism),
        .requestMechanism = absl::GetFlag(FLAGS_request_mechanism),
        .faults = absl::GetFlag(FLAGS_fault).texts,
        .traceFile = absl::GetFlag(FLAGS_trace),
        .logDirectory = absl::GetFlag(FLAGS_log_directory),
    };
}

int listScenarios()
{
    for (const Scenario &scenario : scenarios()) {
        std::cout << scenario.name << " (" << scenario.deployment << ", "
                  << std::chrono::duration_cast<std::chrono::seconds>(scenario.duration).count()
                  << " s): " << scenario.description << '\n';
    }
    return kExitHeld;
}

//! Threads inherit the mask, so that signals reach only the descriptor that the run watches.
void blockSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

//! Abseil knows flags by names with underscores only; the usual spelling has hyphens.
void underscoreFlagNames(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument(argv[i]);
        if (argument.starts_with("--")) {
            const std::size_t end = std::min(argument.find('='), argument.size());
            std::replace(argv[i] + 2, argv[i] + end, '-', '_');
        }
    }
}

bool isParsing = true;

//! Abseil ends the program with 1 on a bad flag, which here would mean a missed bound.
void exitWithBadUse()
{
    if (isParsing) {
        std::cout.flush();
        ::_exit(kExitBadUse);
    }
}

const char *const kUsage = "Load and experiments for radishladder.\n"
                           "  radishbench list\n"
                           "  radishbench run SCENARIO [flags]\n"
                           "  radishbench slopes [--network=N]\n"
                           "  radishbench report FILE... [--directory=docs] [--commit=ID]\n"
                           "Exit code: 0 all bounds hold, 1 one is missed, 2 bad use.\n"
                           "Faults:\n";
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(kUsage + FaultParser::kindsText());
    underscoreFlagNames(argc, argv);
    std::atexit(exitWithBadUse);
    const auto parsed = absl::ParseCommandLine(argc, argv);
    isParsing = false;
    const std::vector<std::string> words(parsed.begin() + 1, parsed.end());
    const std::string format = absl::GetFlag(FLAGS_format);
    if (format != "json" && format != "table") {
        std::cerr << "radishbench: --format is json or table\n";
        return kExitBadUse;
    }
    if (words.size() == 1 && words[0] == "list") {
        return listScenarios();
    }
    if (words.size() == 2 && words[0] == "run") {
        blockSignals();
        return runScenario(runOptions(words[1]), format == "table");
    }
    if (words.size() == 1 && words[0] == "slopes") {
        blockSignals();
        return measureSlopes(runOptions("slopes"));
    }
    if (words.size() > 1 && words[0] == "report") {
        return writeReport({words.begin() + 1, words.end()}, absl::GetFlag(FLAGS_directory),
                           absl::GetFlag(FLAGS_commit));
    }
    std::cerr << "radishbench: bad use\n" << kUsage << FaultParser::kindsText();
    return kExitBadUse;
}
