#include "app/freezecommand.h"
#include "operations/reports.h"
#include "operations/vmquery.h"
#include "settings/configurationdiff.h"
#include "settings/configurationfiles.h"
#include "settings/configurationwarnings.h"
#include "settings/types/difference.h"
#include "settings/types/warning.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <algorithm>
#include <iostream>

ABSL_FLAG(std::string, base, "base.json", "check, diff: base file, JSON with comments");
ABSL_FLAG(std::string, overlays, "", "check, diff: directory of the overlays");
ABSL_FLAG(std::string, against, "", "diff: base file to compare with");
ABSL_FLAG(std::string, against_overlays, "", "diff: overlays to compare with");
ABSL_FLAG(std::string, vms, "", "operations addresses of the VMs, ADDRESS:PORT,...");
ABSL_FLAG(std::string, caller, "", "flow: ADDRESS:PORT of the client");
ABSL_FLAG(std::string, service, "", "flow: ADDRESS:PORT of the service");
ABSL_FLAG(std::string, store, "", "freeze, thaw: ADDRESS:PORT of the platform's store");
ABSL_FLAG(std::string, data_centre, "", "freeze, thaw: one data centre; the whole fleet if empty");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(2), "longest wait for the response of a VM");

namespace {
using namespace radishladder;

constexpr const char *kUsage =
    "Operators' command line of the radishladder load balancer.\n"
    "radishctl check | diff          checks or compares base files and overlays, offline\n"
    "radishctl status | upstreams | flow | timeline   queries the VMs\n"
    "radishctl freeze | thaw         freezes or thaws automatic actions through the platform's "
    "store";

//! Prints \a reason and returns the exit status: the hundreds digit of the result code, which
//! stands for the code's group (see ResultCode).
int fail(const Reason &reason)
{
    std::cerr << "radishctl: " << static_cast<int>(reason.code) << ' '
              << resultCodeName(reason.code) << ": " << reason.detail << '\n';
    return static_cast<int>(reason.code) / 100;
}

int badUsage(const std::string &detail)
{
    return fail({ResultCode::BadUsage, detail});
}

std::optional<settings::Configuration> loadConfiguration(const std::string &base,
                                                         const std::string &overlays,
                                                         Reason &reason)
{
    settings::ConfigurationFiles files;
    std::optional<settings::Configuration> configuration;
    if (files.load(base, overlays)) {
        configuration = files.configuration();
    }
    reason = files.lastReason();
    return configuration;
}

//! Prints the warnings on \a configuration that were not already true of \a before.
void printWarnings(const settings::Configuration &configuration,
                   const settings::Configuration &before)
{
    const std::vector<settings::Warning> known = settings::findWarnings(before);
    for (const settings::Warning &warning : settings::findWarnings(configuration)) {
        if (std::ranges::find(known, warning) == known.end()) {
            std::cerr << settings::formatWarning(warning) << '\n';
        }
    }
}

int check()
{
    Reason reason;
    const auto configuration =
        loadConfiguration(absl::GetFlag(FLAGS_base), absl::GetFlag(FLAGS_overlays), reason);
    if (!configuration) {
        return fail(reason);
    }
    printWarnings(*configuration, {});
    std::cout << "ok: " << configuration->services.size() << " services in "
              << configuration->dataCentres.size() << " data centres\n";
    return 0;
}

int diff()
{
    Reason reason;
    const auto before = loadConfiguration(absl::GetFlag(FLAGS_against),
                                          absl::GetFlag(FLAGS_against_overlays), reason);
    if (!before) {
        return fail(reason);
    }
    const auto after =
        loadConfiguration(absl::GetFlag(FLAGS_base), absl::GetFlag(FLAGS_overlays), reason);
    if (!after) {
        return fail(reason);
    }
    for (const settings::Difference &difference : settings::findDifferences(*before, *after)) {
        std::cout << settings::formatDifference(difference) << '\n';
    }
    printWarnings(*after, *before);
    return 0;
}

std::optional<std::vector<net::Endpoint>> parseVmAddresses()
{
    std::vector<net::Endpoint> endpoints;
    for (const auto part : absl::StrSplit(absl::GetFlag(FLAGS_vms), ',', absl::SkipEmpty())) {
        const auto endpoint = net::parseEndpoint(std::string(part));
        if (!endpoint) {
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints.empty() ? std::nullopt : std::optional(endpoints);
}

int queryVms(const std::string &command)
{
    const auto targets = parseVmAddresses();
    if (!targets) {
        return badUsage("--vms ADDRESS:PORT,... is required");
    }
    const operations::VmQuery query(absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout)));
    if (command == "status") {
        std::cout << operations::statusReport(query.queryAll(*targets, "/status"));
    } else if (command == "upstreams") {
        std::cout << operations::upstreamsReport(query.queryAll(*targets, "/upstreams"));
    } else if (command == "timeline") {
        std::cout << operations::timelineReport(query.queryAll(*targets, "/timeline"));
    } else {
        const std::string flow =
            "caller=" + absl::GetFlag(FLAGS_caller) + "&service=" + absl::GetFlag(FLAGS_service);
        std::cout << operations::flowReport(query.queryAll(*targets, "/flow", flow));
    }
    return 0;
}

int freeze(bool isFrozen)
{
    const auto store = net::parseEndpoint(absl::GetFlag(FLAGS_store));
    if (!store) {
        return badUsage("--store ADDRESS:PORT is required");
    }
    std::optional<DataCentreName> scope;
    if (!absl::GetFlag(FLAGS_data_centre).empty()) {
        scope = DataCentreName(absl::GetFlag(FLAGS_data_centre));
    }
    const Reason reason = app::writeFreeze(*store, scope, isFrozen);
    if (reason.code != ResultCode::Ok) {
        return fail(reason);
    }
    std::cout << "ok: automatic actions are " << (isFrozen ? "frozen" : "on") << " in "
              << (scope ? scope->str() : "all data centres") << " within a few seconds\n";
    return 0;
}
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(kUsage);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() == 2 ? arguments[1] : "";
    if (command == "check") {
        return check();
    }
    if (command == "diff") {
        return diff();
    }
    if (command == "status" || command == "upstreams" || command == "flow"
        || command == "timeline") {
        return queryVms(command);
    }
    if (command == "freeze" || command == "thaw") {
        return freeze(command == "freeze");
    }
    return badUsage(
        "unknown command; expected check, diff, status, upstreams, flow, timeline, freeze or thaw");
}
