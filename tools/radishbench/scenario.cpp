#include "radishbench/scenario.h"

#include "radishbench/deployment.h"

#include <algorithm>
#include <sstream>

namespace radishladder::radishbench {
namespace {
using Faults = std::vector<std::string>;
using std::chrono::seconds;

constexpr Load kRequestsOnly{.longFlows = 100, .shortFlowsPerSecond = 50};
constexpr Load kFull{.longFlows = 150, .shortFlowsPerSecond = 100, .requestShare = 0.6};
constexpr Load kOverload{.longFlows = 50,
                         .shortFlowsPerSecond = 20,
                         .requestShare = 1.5,
                         .uploadShare = 1.5,
                         .uploadBytes = std::size_t{16} * 1024};
constexpr Load kUploads{
    .longFlows = 50, .shortFlowsPerSecond = 50, .requestShare = 0.2, .uploadShare = 0.2};

std::string upstreamName(const Deployment &deployment, std::size_t index)
{
    return deployment.configuration.services.front().upstreams[index].name.str();
}

std::size_t upstreamCount(const Deployment &deployment)
{
    return deployment.configuration.services.front().upstreams.size();
}

std::string dataCentre(const Deployment &deployment, std::size_t index)
{
    const auto &all = deployment.configuration.dataCentres;
    return all[index % all.size()].name.str();
}

//! One fault for each of the first \a count upstreams, from \a fromPercent on, \a stepPercent
//! apart.
Faults forUpstreams(const Deployment &deployment, const std::string &kind, std::size_t count,
                    double fromPercent, double stepPercent)
{
    Faults faults;
    for (std::size_t i = 0; i < count; ++i) {
        std::ostringstream text;
        text << kind << '@' << fromPercent + stepPercent * static_cast<double>(i)
             << "%:" << upstreamName(deployment, i);
        faults.push_back(text.str());
    }
    return faults;
}

Faults joined(Faults first, const Faults &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

Faults rollingRestart(const Deployment & /*deployment*/)
{
    return {"rolling-restart@5%"};
}

Faults vmKill(const Deployment & /*deployment*/)
{
    return {"vm-kill@35%:vm-2"};
}

Faults vmKillDrain(const Deployment &deployment)
{
    return {"upstream-drain@35%:" + upstreamName(deployment, 0), "vm-kill@37%:vm-2"};
}

Faults scale(const Deployment &deployment)
{
    const std::size_t half = upstreamCount(deployment) / 2;
    return joined(forUpstreams(deployment, "upstream-drain", half, 25, 0),
                  forUpstreams(deployment, "upstream-undrain", half, 60, 0));
}

Faults storeDownDrain(const Deployment &deployment)
{
    return {"upstream-drain@20%:" + upstreamName(deployment, 0), "store-down@21%:50%",
            "upstream-drain@40%:" + upstreamName(deployment, 1)};
}

Faults partitionHeal(const Deployment &deployment)
{
    return {"partition@30%:" + dataCentre(deployment, 0) + "|" + dataCentre(deployment, 1)
            + "/25%"};
}

Faults coldStart(const Deployment &deployment)
{
    const std::size_t third = (upstreamCount(deployment) + 2) / 3;
    return joined(forUpstreams(deployment, "upstream-kill", third, 10, 0),
                  forUpstreams(deployment, "upstream-start", third, 30, 0));
}

Faults allCold(const Deployment &deployment)
{
    const std::size_t count = upstreamCount(deployment);
    return forUpstreams(deployment, "upstream-cold", count, 10, 75.0 / static_cast<double>(count));
}

Faults uploadsFaults(const Deployment & /*deployment*/)
{
    return {"packet-duplicate@10%:5%/80%", "vm-kill@30%:vm-2", "store-lose-answers@40%:20%",
            "vm-start@55%:vm-2", "vm-kill@75%:vm-3"};
}

Faults dataCentreOutIn(const Deployment &deployment)
{
    return {"dc-out@20%:" + dataCentre(deployment, 0), "dc-in@65%:" + dataCentre(deployment, 0)};
}

Faults dataCentreOutInStoreDown(const Deployment &deployment)
{
    return {"dc-out@20%:" + dataCentre(deployment, 0), "store-down@30%:30%",
            "dc-in@65%:" + dataCentre(deployment, 0)};
}

Faults partitionDataCentreOut(const Deployment &deployment)
{
    return {"partition@20%:" + dataCentre(deployment, 0) + "|" + dataCentre(deployment, 1) + "/40%",
            "dc-out@30%:" + dataCentre(deployment, 1), "dc-in@75%:" + dataCentre(deployment, 1)};
}

Faults configChanges(const Deployment & /*deployment*/)
{
    constexpr int kChanges = 20;
    Faults faults = {"rolling-restart@5%"};
    for (int i = 0; i < kChanges; ++i) {
        faults.push_back("config-change@" + std::to_string(6 + 4 * i) + "%");
    }
    return faults;
}
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> kScenarios = {
        {"steady", "no fault", "small", seconds(10), {}, nullptr},
        {"rolling-restart",
         "every VM stopped and started, one after another",
         "kozmu",
         seconds(40),
         {},
         rollingRestart},
        {"vm-kill", "one VM killed", "kozmu", seconds(20), {}, vmKill},
        {"vm-kill-drain",
         "one VM killed just after an upstream began to leave",
         "kozmu",
         seconds(20),
         {},
         vmKillDrain},
        {"scale",
         "half of the upstreams drained and taken back by configuration",
         "kozmu",
         seconds(20),
         {},
         scale},
        {"store-down-drain",
         "an upstream drained, then the store down",
         "kozmu",
         seconds(20),
         {},
         storeDownDrain},
        {"partition-heal",
         "two data centres cut off from each other, then healed",
         "kozmu",
         seconds(24),
         {},
         partitionHeal},
        {"cold-start", "a third of the hosts killed and started cold under full load", "kozmu",
         seconds(24), kFull, coldStart},
        {"all-cold", "every host of a service turns cold, one after another", "kozmu", seconds(30),
         kRequestsOnly, allCold},
        {"overload", "1.5 times what the upstreams bear", "kozmu", seconds(15), kOverload, nullptr},
        {"uploads-faults", "uploads with VM kills, duplicated packets and lost store answers",
         "lexikonsedel", seconds(20), kUploads, uploadsFaults},
        {"rolling-restart-uploads", "every VM stopped and started under uploads", "lexikonsedel",
         seconds(35), kUploads, rollingRestart},
        {"dc-out-in", "a data centre taken out and back in under full load", "lexikonsedel",
         seconds(30), kFull, dataCentreOutIn},
        {"dc-out-in-store-down", "the same with the store down in between", "lexikonsedel",
         seconds(30), kFull, dataCentreOutInStoreDown},
        {"partition-dc-out",
         "a data centre taken out while another is cut off from it",
         "lexikonsedel",
         seconds(30),
         {},
         partitionDataCentreOut},
        {"config-changes",
         "20 changes of configuration during a rolling restart",
         "kozmu",
         seconds(40),
         {},
         configChanges},
    };
    return kScenarios;
}

const Scenario *findScenario(const std::string &name)
{
    const auto found = std::ranges::find(scenarios(), name, &Scenario::name);
    return found == scenarios().end() ? nullptr : &*found;
}
}
