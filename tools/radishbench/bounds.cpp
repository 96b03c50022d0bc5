#include "radishbench/bounds.h"

#include "radishbench/types/measures.h"
#include "radishbench/types/runtraits.h"

#include <optional>

namespace radishladder::radishbench {
namespace {
constexpr double kBrokenWhileLeavingShare = 0.001;
constexpr double kAnsweredRatio = 0.999;
constexpr double kGoodputOverCapacity = 0.9;
constexpr double kImbalance = 1.25;
constexpr double kSecondsToLast = 3;
constexpr double kSecondsToConfig = 5;
constexpr double kControlBytesPerSecond = 2000;
constexpr double kCpuCorePercent = 1.6;
constexpr double kRssMegabytes = 256;

//! Collects bounds; a measure that does not apply brings none.
class BoundList
{
public:
    void atMost(const std::string &name, double bound, std::optional<double> value)
    {
        if (value) {
            this->bounds.push_back({name, bound, *value, *value <= bound});
        }
    }

    void atLeast(const std::string &name, double bound, std::optional<double> value)
    {
        if (value) {
            this->bounds.push_back({name, bound, *value, *value >= bound});
        }
    }

    std::vector<Bound> take() { return std::move(this->bounds); }

private:
    std::vector<Bound> bounds;
};

std::optional<double> number(const std::optional<std::uint64_t> &value)
{
    return value ? std::make_optional(static_cast<double>(*value)) : std::nullopt;
}

double count(std::uint64_t value)
{
    return static_cast<double>(value);
}

void boundFlows(BoundList &list, const Measures &measures, const RunTraits &traits)
{
    const bool isKilledWhileLeaving = traits.vmKills > 0 && traits.upstreamLeaves;
    const double allowed =
        isKilledWhileLeaving ? kBrokenWhileLeavingShare * count(measures.flows) : 0;
    const double broken = count(measures.brokenFlows - measures.brokenWithUpstream);
    // Two VMs killed in one run can take a record and its backup: the promise is for one.
    if (traits.vmKills <= 1) {
        list.atMost(traits.upstreamKilled ? "broken_flows_without_killed_upstreams"
                                          : "broken_flows",
                    allowed, broken);
    }
    list.atLeast("flows", 1, count(measures.flows));
    if (traits.isSteady) {
        list.atMost("flows_not_opened", 0, count(measures.flowsNotOpened));
    }
    list.atMost("misdelivered", 0, count(measures.misdelivered));
    // Cut off data centres place new work at home: equal shares are not promised then.
    if (!traits.cutOff && !traits.overloaded) {
        list.atMost("imbalance_max_over_mean", kImbalance, measures.imbalance);
    }
}

void boundRequests(BoundList &list, const Measures &measures, const RunTraits &traits)
{
    list.atMost("run_twice", 0, count(measures.runTwice));
    list.atMost("false_not_run", 0, count(measures.falseNotRun));
    list.atMost("bad_answers", 0, count(measures.badAnswers));
    if (traits.isSteady || traits.dataCentreOut) {
        list.atLeast("answered_ratio", kAnsweredRatio, measures.answeredRatio);
    }
    // Refusing every reservation would keep all other promises.
    if (traits.isSteady) {
        list.atLeast("answered_ratio_non_idempotent", kAnsweredRatio,
                     measures.answeredRatioNonIdempotent);
    }
    if (traits.rollingRestart && traits.vmKills == 0) {
        list.atMost("cut_requests", 0, count(measures.cutRequests));
    }
    list.atLeast("goodput_over_capacity", kGoodputOverCapacity, measures.goodputOverCapacity);
}
}

std::vector<Bound> judge(const Measures &measures, const RunTraits &traits)
{
    BoundList list;
    boundFlows(list, measures, traits);
    boundRequests(list, measures, traits);
    list.atMost("cold_overload", 0, number(measures.coldOverload));
    list.atMost("seconds_to_last_packet", kSecondsToLast, measures.secondsToLastPacket);
    list.atMost("seconds_to_last_relay", kSecondsToLast, measures.secondsToLastRelay);
    list.atMost("seconds_to_last_new_work", kSecondsToLast, measures.secondsToLastNewWork);
    list.atMost("seconds_to_config", kSecondsToConfig, measures.secondsToConfig);
    list.atMost("config_reverted", 0, number(measures.configReverted));
    list.atMost("control_bytes_per_vm_s", kControlBytesPerSecond, measures.controlBytesPerVmSecond);
    list.atMost("cpu_core_percent", kCpuCorePercent, measures.cpuCorePercent);
    list.atMost("rss_mb", kRssMegabytes, measures.rssMegabytes);
    if (traits.rollingRestart) {
        list.atLeast("vms_restarted", static_cast<double>(traits.vms),
                     number(measures.vmsRestarted));
    }
    return list.take();
}
}
