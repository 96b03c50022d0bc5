#include "radishbench/slopes.h"

#include "radishbench/benchrun.h"
#include "radishbench/interruptwatch.h"
#include "radishbench/runcommand.h"
#include "radishbench/scenario.h"
#include "radishbench/types/fault.h"
#include "radishbench/types/runoptions.h"

#include <iostream>

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kDuration{6000};

//! One size to measure; the others stay as they are.
struct Size
{
    const char *varied;
    const char *deployment;
    int vms;
    int flows;
};

constexpr Size kSizes[] = {
    {"vms", "kozmu", 4, 0},     {"vms", "kozmu", 8, 0},       {"vms", "kozmu", 16, 0},
    {"vms", "kozmu", 32, 0},    {"upstreams", "small", 6, 0}, {"upstreams", "kozmu", 6, 0},
    {"flows", "small", 3, 100}, {"flows", "small", 3, 500},   {"flows", "small", 3, 2000},
};

std::size_t upstreamCount(const Deployment &deployment)
{
    std::size_t count = 0;
    for (const settings::Service &service : deployment.configuration.services) {
        count += service.upstreams.size();
    }
    return count;
}

Json::Value number(const std::optional<double> &value)
{
    return value ? Json::Value(*value) : Json::Value();
}

Json::Value measure(const RunOptions &options, const Size &size)
{
    const Scenario scenario{.name = "slopes",
                            .load = {.longFlows = size.flows,
                                     .shortFlowsPerSecond = 0,
                                     .requestShare = 0,
                                     .uploadShare = 0}};
    const auto deployment =
        makeDeployment(size.deployment, {.network = options.network, .vms = size.vms});
    Json::Value row(Json::objectValue);
    row["varied"] = size.varied;
    row["vms"] = size.vms;
    row["upstreams"] = static_cast<Json::UInt64>(upstreamCount(*deployment));
    row["flows"] = size.flows;
    BenchRun run(options, scenario, *deployment, {}, kDuration);
    const InterruptWatch interrupt(run);
    if (!run.run()) {
        row["error"] = run.lastReason().detail;
        return row;
    }
    const Measures measures = run.measures();
    row["control_bytes_per_vm_s"] = number(measures.controlBytesPerVmSecond);
    row["control_datagrams_per_vm_s"] = number(measures.controlDatagramsPerVmSecond);
    row["cpu_core_percent"] = number(measures.cpuCorePercentLoaded);
    row["rss_mb"] = number(measures.rssMegabytes);
    row["store_calls_per_s"] = number(measures.storeCallsPerSecond);
    return row;
}
}

int measureSlopes(const RunOptions &options)
{
    Json::Value rows(Json::arrayValue);
    for (const Size &size : kSizes) {
        rows.append(measure(options, size));
        if (rows[rows.size() - 1].isMember("error")) {
            std::cerr << "radishbench: " << rows[rows.size() - 1]["error"].asString() << '\n';
            return kExitBadUse;
        }
    }
    std::cout << rows.toStyledString();
    return kExitHeld;
}
}
