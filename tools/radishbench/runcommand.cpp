#include "radishbench/runcommand.h"

#include "radishbench/benchrun.h"
#include "radishbench/faultparser.h"
#include "radishbench/interruptwatch.h"
#include "radishbench/resultwriter.h"
#include "radishbench/scenario.h"
#include "radishbench/types/runoptions.h"

#include <algorithm>
#include <iostream>

namespace radishladder::radishbench {
namespace {
constexpr int kMaxVms = 200;
constexpr int kMaxNetwork = 254;

int badUse(const std::string &why)
{
    std::cerr << "radishbench: " << why << '\n';
    return kExitBadUse;
}

std::optional<settings::FlowMechanism> parseFlowMechanism(const std::string &text)
{
    using enum settings::FlowMechanism;
    return text == "epochs"    ? std::make_optional(Epochs)
        : text == "hash"       ? std::make_optional(Hash)
        : text == "hash-cache" ? std::make_optional(HashCache)
        : text == "home"       ? std::make_optional(Home)
                               : std::nullopt;
}

std::optional<settings::RequestMechanism> parseRequestMechanism(const std::string &text)
{
    using enum settings::RequestMechanism;
    return text == "shared"           ? std::make_optional(Shared)
        : text == "least-connections" ? std::make_optional(LeastConnections)
        : text == "round-robin"       ? std::make_optional(RoundRobin)
                                      : std::nullopt;
}

Json::Value describe(const RunOptions &options, const Deployment &deployment,
                     const std::vector<Fault> &faults, std::chrono::milliseconds duration)
{
    Json::Value json(Json::objectValue);
    json["scenario"] = options.scenario;
    json["deployment"] = deployment.name;
    json["seed"] = static_cast<Json::UInt64>(options.seed);
    json["duration_s"] = std::chrono::duration<double>(duration).count();
    json["vms"] = static_cast<Json::UInt64>(deployment.vms.size());
    json["flow_mechanism"] = options.flowMechanism;
    json["request_mechanism"] = options.requestMechanism;
    json["faults"] = Json::Value(Json::arrayValue);
    json["extra_faults"] = Json::Value(Json::arrayValue);
    for (const std::string &text : options.faults) {
        json["extra_faults"].append(text);
    }
    for (const Fault &fault : faults) {
        json["faults"].append(fault.text);
    }
    return json;
}

void merge(Json::Value &target, const Json::Value &source)
{
    for (const std::string &name : source.getMemberNames()) {
        target[name] = source[name];
    }
}
}

int runScenario(const RunOptions &options, bool asTable)
{
    const Scenario *scenario = findScenario(options.scenario);
    if (scenario == nullptr) {
        return badUse("scenario '" + options.scenario + "' is unknown; see radishbench list");
    }
    const auto flowMechanism = parseFlowMechanism(options.flowMechanism);
    const auto requestMechanism = parseRequestMechanism(options.requestMechanism);
    if (!flowMechanism || !requestMechanism) {
        return badUse("--flow-mechanism is one of epochs, hash, hash-cache, home; "
                      "--request-mechanism one of shared, least-connections, round-robin");
    }
    if (options.network < 1 || options.network > kMaxNetwork || options.vms.value_or(1) < 1
        || options.vms.value_or(1) > kMaxVms) {
        return badUse("--network is 1 to 254, --vms 1 to 200");
    }
    const auto duration = options.duration.value_or(scenario->duration);
    if (duration <= std::chrono::milliseconds(0)) {
        return badUse("--duration must be above 0");
    }
    const auto deployment = makeDeployment(options.deployment.value_or(scenario->deployment),
                                           {.network = options.network,
                                            .vms = options.vms,
                                            .flowMechanism = *flowMechanism,
                                            .requestMechanism = *requestMechanism});
    if (!deployment) {
        return badUse("--deployment is one of small, kozmu, lexikonsedel");
    }
    FaultParser parser(*deployment, duration);
    std::vector<std::string> texts =
        scenario->faults ? scenario->faults(*deployment) : std::vector<std::string>();
    texts.insert(texts.end(), options.faults.begin(), options.faults.end());
    std::vector<Fault> faults;
    for (const std::string &text : texts) {
        const auto fault = parser.parse(text);
        if (!fault) {
            return badUse(parser.lastReason().detail);
        }
        faults.push_back(*fault);
    }
    BenchRun run(options, *scenario, *deployment, faults, duration);
    const InterruptWatch interrupt(run);
    if (!run.run()) {
        return badUse(run.lastReason().detail);
    }
    const Measures measures = run.measures();
    const std::vector<Bound> bounds = judge(measures, run.traits());
    Json::Value result = describe(options, *deployment, faults, duration);
    merge(result, measuresJson(measures, bounds));
    if (!options.traceFile.empty() && !run.recorder().writeTrace(options.traceFile)) {
        return badUse("--trace: cannot write " + options.traceFile);
    }
    if (asTable) {
        std::cout << measuresTable(result);
    } else {
        result["series"] = run.recorder().seriesJson();
        std::cout << result.toStyledString();
    }
    return std::ranges::all_of(bounds, &Bound::holds) ? kExitHeld : kExitMissed;
}
}
