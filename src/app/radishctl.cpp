#include "global/seededrandom.h"
#include "global/systemclock.h"
#include "operations/operatorcommands.h"
#include "operations/platformbackend.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, base, "base.json", "base file, JSON with comments");
ABSL_FLAG(std::string, overlays, "", "directory of the overlays, one *.json file a site");
ABSL_FLAG(std::string, platform, "", "gateways of the platform's store, ADDRESS:PORT,...");
ABSL_FLAG(std::string, token, "", "token for the VMs; default: $RADISHLADDER_TOKEN");
ABSL_FLAG(std::string, operator_name, "", "name for the history; default: $USER");
ABSL_FLAG(std::string, summary, "", "reason of the change, for the history");
ABSL_FLAG(absl::Duration, wait, absl::Seconds(10), "longest wait until all VMs have a change");
ABSL_FLAG(std::string, format, "text", "text or json; for timeline also chrome");
ABSL_FLAG(bool, off, false, "drain: take the drain back");
ABSL_FLAG(std::string, service, "", "explain: service");
ABSL_FLAG(std::string, caller, "", "explain: ADDRESS:PORT of the caller of a flow");
ABSL_FLAG(std::string, key, "", "explain: idempotency key of a request");

namespace {
using namespace radishladder;

constexpr const char *kUsage =
    "Operators' command line of the radishladder load balancer.\n"
    "radishctl check | diff | apply | history | status | explain | timeline |\n"
    "          drain UPSTREAM | dc out SITE | dc in SITE | freeze SITE | unfreeze SITE";

std::string variable(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

std::string flagOr(const std::string &value, const char *fallback)
{
    return value.empty() ? variable(fallback) : value;
}

int badUsage(const std::string &detail)
{
    std::cerr << "radishctl: 100 BadUsage: " << detail << '\n';
    return static_cast<int>(ResultCode::BadUsage) / 100;
}

std::optional<std::vector<net::Endpoint>> gateways()
{
    std::vector<net::Endpoint> endpoints;
    for (const auto part : absl::StrSplit(absl::GetFlag(FLAGS_platform), ',', absl::SkipEmpty())) {
        const auto endpoint = net::parseEndpoint(std::string(part));
        if (!endpoint) {
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

operations::CommandOptions commandOptions()
{
    return {.base = absl::GetFlag(FLAGS_base),
            .overlays = absl::GetFlag(FLAGS_overlays),
            .operatorName = flagOr(absl::GetFlag(FLAGS_operator_name), "USER"),
            .summary = absl::GetFlag(FLAGS_summary),
            .wait = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_wait)),
            .off = absl::GetFlag(FLAGS_off),
            .timeLineFormat = absl::GetFlag(FLAGS_format),
            .service = absl::GetFlag(FLAGS_service),
            .caller = absl::GetFlag(FLAGS_caller),
            .key = absl::GetFlag(FLAGS_key)};
}

void print(const operations::CommandResult &result, const std::string &format)
{
    if (format != "text") {
        std::cout << result.json.toStyledString();
        return;
    }
    for (const std::string &line : result.lines) {
        std::cout << line << '\n';
    }
}
}

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(kUsage);
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(arguments.begin() + 1, arguments.end());
    const std::string format = absl::GetFlag(FLAGS_format);
    const bool isTimeLine = !words.empty() && words[0] == "timeline";
    if (format != "text" && format != "json" && !(format == "chrome" && isTimeLine)) {
        return badUsage("--format is neither text nor json");
    }
    const auto endpoints = gateways();
    if (!endpoints) {
        return badUsage("--platform holds no IPv4 address and port");
    }
    if (endpoints->empty() && words != std::vector<std::string>{"check"}) {
        return badUsage("--platform ADDRESS:PORT is required");
    }
    std::signal(SIGPIPE, SIG_IGN);
    const SystemClock clock;
    std::random_device device;
    SeededRandom random(static_cast<std::uint64_t>(device()) << 32 | device());
    operations::PlatformBackend backend(*endpoints,
                                        flagOr(absl::GetFlag(FLAGS_token), "RADISHLADDER_TOKEN"));
    operations::OperatorCommands commands(backend, clock, random, commandOptions());
    const operations::CommandResult result = commands.run(words);
    print(result, format);
    return static_cast<int>(result.code) / 100;
}
