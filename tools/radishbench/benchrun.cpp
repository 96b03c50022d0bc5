#include "radishbench/benchrun.h"

#include "radishbench/scenario.h"
#include "radishbench/types/fault.h"
#include "radishbench/types/runoptions.h"

namespace radishladder::radishbench {
namespace {
constexpr std::chrono::milliseconds kSettle{1500};
constexpr std::chrono::milliseconds kIdleWindow{1500};
constexpr std::chrono::milliseconds kTick{10};
constexpr std::chrono::milliseconds kPoll{100};
constexpr std::chrono::milliseconds kIdleCheck{100};
constexpr std::chrono::milliseconds kLongestDrain{10500};
constexpr std::chrono::milliseconds kLongestCatchUp{6000};
constexpr std::chrono::milliseconds kEndPatience{1000};

std::vector<net::Endpoint> adminEndpoints(const Deployment &deployment)
{
    std::vector<net::Endpoint> admins;
    for (const settings::VmSettings &vm : deployment.vms) {
        admins.push_back(vm.admin);
    }
    return admins;
}
}

BenchRun::BenchRun(const RunOptions &options, const Scenario &scenario, Deployment deployment,
                   std::vector<Fault> faults, std::chrono::milliseconds duration)
    : scenario(scenario), faults(std::move(faults)), duration(duration),
      cluster(options, std::move(deployment)),
      client(this->cluster.loop(), this->cluster.deployment().requestCaller),
      watch(this->client, adminEndpoints(this->cluster.deployment())),
      editor(this->cluster.deployment().configuration, this->cluster.store(), this->cluster.loop()),
      departures(this->cluster),
      rollingRestart(this->cluster, this->watch, this->client, this->record),
      driver(this->cluster, this->editor, this->watch, this->departures, this->rollingRestart,
             this->record),
      load(this->cluster, this->client, scenario.load), meter(this->cluster)
{ }

BenchRun::~BenchRun() = default;

bool BenchRun::run()
{
    if (!this->cluster.start() || !this->load.start()) {
        this->reason = {ResultCode::SocketFailed, this->cluster.lastReason()};
        return false;
    }
    net::IEventLoop &loop = this->cluster.loop();
    this->editor.onAccepted([this](std::uint64_t generation, TimePoint at) {
        this->record.note(at, "accepted", std::to_string(generation));
        this->watch.accepted(generation, at);
    });
    loop.after(kSettle, [this] { this->meter.begin(std::chrono::steady_clock::now()); });
    loop.after(kSettle + kIdleWindow, [this] { this->beginLoad(); });
    loop.run();
    this->ended = std::chrono::steady_clock::now();
    this->departures.finish();
    this->cluster.processes().endAll(kEndPatience);
    return this->reason.code == ResultCode::Ok;
}

void BenchRun::interrupt()
{
    this->reason = {ResultCode::BadUsage, "interrupted"};
    this->cluster.loop().stop();
}

void BenchRun::beginLoad()
{
    net::IEventLoop &loop = this->cluster.loop();
    const auto now = std::chrono::steady_clock::now();
    this->idleCpu = this->meter.cpuCorePercent(now);
    this->idleControlBytes = this->meter.controlBytesPerSecond(now);
    this->meter.begin(now);
    this->storeCallsBefore = this->cluster.store().calls();
    this->loadBegan = now;
    this->record.begin(now);
    this->load.begin(now, this->duration);
    this->driver.schedule(this->faults);
    loop.every(kTick, [this] { this->load.tick(std::chrono::steady_clock::now()); });
    loop.every(kPoll, [this] { this->watch.poll(std::chrono::steady_clock::now()); });
    loop.every(RunRecorder::kBin, [this] { this->sample(); });
    loop.after(this->duration, [this] { this->endLoad(); });
}

void BenchRun::endLoad()
{
    this->loadEnded = std::chrono::steady_clock::now();
    this->load.end();
    const std::chrono::duration<double> loaded = this->loadEnded - this->loadBegan;
    this->storeCalls = static_cast<double>(this->cluster.store().calls() - this->storeCallsBefore)
        / loaded.count();
    this->rollingRestart.cease();
    this->loadedCpu = this->meter.cpuCorePercent(this->loadEnded);
    this->controlDatagrams = this->meter.controlDatagramsPerSecond(this->loadEnded);
    this->controlBytes = this->meter.controlBytesPerSecond(this->loadEnded);
    this->checkIdle(this->loadEnded);
}

void BenchRun::checkIdle(TimePoint since)
{
    const auto waited = std::chrono::steady_clock::now() - since;
    const bool isCaughtUp = this->watch.isSettled() || waited >= kLongestCatchUp;
    if ((this->load.isIdle() && isCaughtUp) || waited >= kLongestDrain) {
        this->cluster.loop().stop();
        return;
    }
    this->cluster.loop().after(kIdleCheck, [this, since] { this->checkIdle(since); });
}

void BenchRun::sample()
{
    const RequestCaller::Counts total = this->load.requests().total();
    const standins::FlowCaller::Counts &flows = this->load.flows().counts();
    this->record.sample({.answeredRequests = total.answered,
                         .sentRequests = total.sent,
                         .answeredPackets = flows.answeredPackets,
                         .lostFlows = flows.losses.size()});
    this->meter.sample();
}
}
