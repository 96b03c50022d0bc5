#include "radishbench/benchrun.h"
#include "radishbench/scenario.h"
#include "radishbench/types/fault.h"

#include <algorithm>
#include <set>

namespace radishladder::radishbench {
namespace {
constexpr double kMicrosecondsPerMillisecond = 1000;

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

const char *causeText(standins::FlowCaller::Cause cause)
{
    switch (cause) {
    case standins::FlowCaller::Cause::Reset:
        return "reset";
    case standins::FlowCaller::Cause::OtherUpstream:
        return "other-upstream";
    case standins::FlowCaller::Cause::NoProgress:
        break;
    }
    return "no-progress";
}

std::optional<double> quantileMs(std::vector<std::chrono::microseconds> times, double share)
{
    if (times.empty()) {
        return std::nullopt;
    }
    const auto place = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    std::ranges::nth_element(times, times.begin() + static_cast<std::ptrdiff_t>(place));
    return static_cast<double>(times[place].count()) / kMicrosecondsPerMillisecond;
}

bool changesConfiguration(FaultKind kind)
{
    return kind == FaultKind::ConfigChange || kind == FaultKind::UpstreamDrain
        || kind == FaultKind::UpstreamUndrain || kind == FaultKind::DataCentreOut
        || kind == FaultKind::DataCentreIn;
}

//! True if the fault makes the share of its upstream differ from that of the others.
bool touchesUpstream(FaultKind kind)
{
    return kind == FaultKind::UpstreamDrain || kind == FaultKind::UpstreamUndrain
        || kind == FaultKind::UpstreamCold || kind == FaultKind::UpstreamKill
        || kind == FaultKind::UpstreamStart || kind == FaultKind::UpstreamShed;
}
}

RunTraits BenchRun::traits() const
{
    RunTraits traits;
    traits.vms = this->cluster.deployment().vms.size();
    traits.isSteady = this->faults.empty() && this->scenario.load.requestShare <= 1;
    traits.overloaded = this->scenario.load.requestShare > 1;
    for (const Fault &fault : this->faults) {
        const FaultKind kind = fault.kind;
        traits.vmKills += kind == FaultKind::VmKill ? 1 : 0;
        traits.upstreamLeaves |= kind == FaultKind::UpstreamDrain;
        traits.upstreamKilled |= kind == FaultKind::UpstreamKill;
        traits.upstreamColdOrStarted |= kind == FaultKind::UpstreamCold
            || kind == FaultKind::UpstreamStart || kind == FaultKind::DataCentreIn;
        traits.dataCentreOut |= kind == FaultKind::DataCentreOut;
        traits.cutOff |= kind == FaultKind::Partition;
        traits.configChanges |= changesConfiguration(kind);
        traits.rollingRestart |= kind == FaultKind::RollingRestart;
    }
    return traits;
}

Measures BenchRun::measures() const
{
    const RunTraits runTraits = this->traits();
    Measures measures;
    this->measureFlows(measures);
    this->measureRequests(measures);
    this->measureUpstreams(measures);
    measures.imbalance = this->imbalance();
    measures.secondsToLastPacket = this->departures.secondsToLastPacket();
    measures.secondsToLastRequest = this->departures.secondsToLastRequest();
    measures.secondsToLastRelay = this->departures.secondsToLastRelay();
    measures.secondsToLastNewWork = this->departures.secondsToLastNewWork();
    measures.secondsToConfig = this->watch.secondsToConfig(this->ended);
    if (measures.secondsToConfig) {
        measures.configReverted = this->watch.reverted();
    }
    measures.controlBytesPerVmSecond = this->controlBytes;
    measures.storeCallsPerSecond = this->storeCalls;
    measures.controlBytesPerVmSecondIdle = this->idleControlBytes;
    measures.controlDatagramsPerVmSecond = this->controlDatagrams;
    measures.cpuCorePercent = this->idleCpu;
    measures.cpuCorePercentLoaded = this->loadedCpu;
    measures.rssMegabytes = this->meter.largestMegabytes();
    if (runTraits.rollingRestart) {
        measures.vmsRestarted = this->rollingRestart.restarted();
    }
    if (!runTraits.upstreamColdOrStarted) {
        measures.coldOverload.reset();
        measures.unwarnedOverload.reset();
    }
    return measures;
}

void BenchRun::measureFlows(Measures &measures) const
{
    const standins::FlowCaller::Counts &counts = this->load.flows().counts();
    measures.flows = counts.opened;
    measures.flowsNotOpened = counts.notOpened;
    for (const standins::FlowCaller::Loss &loss : counts.losses) {
        if (this->departures.wasDataCentreOut(loss.upstream, loss.openedAt, loss.at)) {
            ++measures.givenUpFlows;
            continue;
        }
        ++measures.brokenFlows;
        ++measures.brokenByCause[causeText(loss.cause)];
        if (this->departures.wasKilled(loss.upstream, loss.openedAt, loss.at)) {
            ++measures.brokenWithUpstream;
        }
    }
}

void BenchRun::measureRequests(Measures &measures) const
{
    const RequestCaller &caller = this->load.requests();
    const RequestCaller::Counts lookups = caller.counts(RequestKind::Lookup);
    const RequestCaller::Counts uploads = caller.counts(RequestKind::Upload);
    const RequestCaller::Counts total = caller.total();
    measures.requests = total.sent;
    measures.lookups = lookups.sent;
    measures.uploads = uploads.sent;
    measures.badAnswers = total.bad;
    measures.cutRequests = total.cut;
    measures.answersByCode = caller.codes();
    measures.refusedRequests = total.refused;
    measures.failedRequests = total.failed;
    measures.unreachableRequests = total.unreachable;
    if (lookups.sent > 0) {
        measures.answeredRatio = ratio(lookups.answered, lookups.sent);
    }
    const RequestCaller::Counts reservations = caller.counts(RequestKind::Reservation);
    if (const std::uint64_t sent = uploads.sent + reservations.sent; sent > 0) {
        measures.answeredRatioNonIdempotent = ratio(uploads.answered + reservations.answered, sent);
    }
    if (uploads.sent > 0) {
        measures.answeredRatioUploads = ratio(uploads.answered, uploads.sent);
    }
    if (this->scenario.load.requestShare > 1) {
        const double seconds =
            std::chrono::duration<double>(this->loadEnded - this->loadBegan).count();
        const std::uint64_t answered = lookups.answered + reservations.answered;
        measures.goodputOverCapacity = static_cast<double>(answered) / seconds
            / capacityPerSecond(this->cluster, 0, this->cluster.deployment().requestTime);
    }
    measures.answeredP50Ms = quantileMs(caller.latencies(), 0.5);
    measures.answeredP99Ms = quantileMs(caller.latencies(), 0.99);
}

void BenchRun::measureUpstreams(Measures &measures) const
{
    measures.coldOverload = 0;
    measures.unwarnedOverload = 0;
    std::map<std::string, int> runs;
    for (const auto &host : this->cluster.upstreams()) {
        const standins::UpstreamStandin::Log &log = host->log();
        measures.misdelivered += log.misdelivered;
        *measures.coldOverload += log.coldOverloads;
        *measures.unwarnedOverload += log.unwarnedOverloads;
        for (const auto &[key, count] : log.runsByKey) {
            runs[key] += count;
        }
    }
    for (const auto &[key, count] : runs) {
        measures.runTwice += count > 1 ? 1 : 0;
        measures.falseNotRun += this->load.requests().refusedKeys().contains(key) ? 1 : 0;
    }
}

std::optional<double> BenchRun::imbalance() const
{
    std::set<std::string> touched;
    std::set<std::string> touchedDataCentres;
    for (const Fault &fault : this->faults) {
        if (touchesUpstream(fault.kind)) {
            touched.insert(fault.target);
        } else if (fault.kind == FaultKind::DataCentreOut) {
            touchedDataCentres.insert(fault.target);
        }
    }
    std::optional<double> worst;
    for (const settings::Service &service : this->cluster.deployment().configuration.services) {
        std::uint64_t most = 0;
        std::uint64_t sum = 0;
        std::uint64_t ready = 0;
        for (const settings::Upstream &upstream : service.upstreams) {
            if (touched.contains(upstream.name.str())
                || touchedDataCentres.contains(upstream.dataCentre.str())) {
                continue;
            }
            const std::uint64_t opened =
                this->cluster.findUpstream(upstream.name.str())->log().flowsOpened;
            most = std::max(most, opened);
            sum += opened;
            ++ready;
        }
        if (ready > 1 && sum > 0) {
            worst = std::max(worst.value_or(0), ratio(most * ready, sum));
        }
    }
    return worst;
}
}
