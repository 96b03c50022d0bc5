#include "app/vmprocess.h"

#include "app/datapath.h"
#include "app/requestfront.h"
#include "flows/hashrouter.h"
#include "global/systemclock.h"
#include "net/asioeventloop.h"
#include "net/curlhttpclient.h"
#include "operations/adminserver.h"
#include "operations/configurationfollower.h"
#include "requests/roundrobinhandler.h"
#include "settings/configurationholder.h"
#include "settings/types/configuration.h"
#include "store/etcdstore.h"
#include "supervision/supervisor.h"
#include "telemetry/igauge.h"
#include "telemetry/prometheusmetrics.h"
#include "telemetry/timeline.h"

#include <atomic>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace radishladder::app {
namespace {
constexpr std::chrono::milliseconds kSupervisionPeriod{100};
constexpr std::chrono::milliseconds kFlowTick{100};
constexpr std::chrono::milliseconds kConfigurationPoll{1000};
constexpr std::chrono::milliseconds kStopCheck{20};
}

struct VmProcess::Parts
{
    explicit Parts(settings::VmSettings vmSettings) : settings(std::move(vmSettings)) { }

    settings::VmSettings settings;
    SystemClock clock;
    net::AsioEventLoop loop;
    telemetry::PrometheusMetrics metrics;
    telemetry::TimeLine timeLine{this->clock, this->settings.name, this->settings.dataCentre};
    settings::ConfigurationHolder configuration;
    net::CurlHttpClient client{this->loop, this->settings.data.address};
    store::EtcdStore store{this->client, this->settings.platform};
    operations::ConfigurationFollower follower{this->store, this->configuration, this->timeLine};
    flows::HashRouter router{this->configuration};
    requests::RoundRobinHandler handler{this->configuration, this->client};
    std::atomic<bool> ready = false;
    DataPath dataPath{this->settings.data, this->router, this->clock, this->loop, this->metrics};
    RequestFront front{this->settings.requests, this->handler, this->loop};
    operations::AdminServer admin{this->settings.admin, this->metrics,
                                  [this] { return this->ready.load(); }};
    supervision::Supervisor root{"root", this->clock, this->timeLine};
    int signals = -1;
    bool stopping = false;
    int exitCode = 0;
};

VmProcess::VmProcess(settings::VmSettings settings)
    : parts(std::make_unique<Parts>(std::move(settings)))
{
    this->parts->root.add(this->parts->admin);
    this->parts->root.add(this->parts->dataPath);
    this->parts->root.add(this->parts->front);
}

VmProcess::~VmProcess()
{
    if (this->parts->signals >= 0) {
        ::close(this->parts->signals);
    }
}

int VmProcess::run()
{
    Parts &parts = *this->parts;
    this->watchSignals();
    if (!parts.root.start()) {
        const Reason reason = parts.root.lastReason();
        parts.timeLine.record(
            {.kind = "vm.start-failed", .reason = reason.code, .detail = reason.detail});
        return static_cast<int>(reason.code) / 100;
    }
    parts.timeLine.record({.kind = "vm.started"});
    parts.loop.every(kSupervisionPeriod, [this, &parts] {
        parts.root.supervise();
        parts.ready = !parts.stopping && parts.configuration.current()->generation > 0;
        if (!parts.root.isHealthy()) {
            parts.exitCode = static_cast<int>(ResultCode::ComponentEscalated) / 100;
            this->finishStop();
        }
    });
    parts.loop.every(kFlowTick, [&parts] { parts.router.tick(parts.clock.now()); });
    parts.configuration.subscribe([&parts](const settings::Configuration &accepted) {
        parts.metrics.gauge("configuration_generation")
            .set(static_cast<double>(accepted.generation));
    });
    parts.loop.every(kConfigurationPoll, [&parts] { parts.follower.poll(); });
    parts.loop.post([&parts] { parts.follower.poll(); });
    parts.loop.run();
    return parts.exitCode;
}

void VmProcess::watchSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    this->parts->signals = ::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    this->parts->loop.watchReadable(this->parts->signals, [this] {
        signalfd_siginfo info{};
        while (::read(this->parts->signals, &info, sizeof info) == sizeof info) {
            if (this->parts->stopping) {
                this->finishStop();
            } else {
                this->beginStop();
            }
        }
    });
}

void VmProcess::beginStop()
{
    Parts &parts = *this->parts;
    parts.stopping = true;
    parts.ready = false;
    parts.timeLine.record({.kind = "vm.stopping"});
    parts.handler.stopAccepting();
    parts.loop.every(kStopCheck, [this, &parts] {
        if (parts.handler.running() == 0) {
            this->finishStop();
        }
    });
}

void VmProcess::finishStop()
{
    this->parts->timeLine.record({.kind = "vm.stopped"});
    this->parts->root.stop();
    this->parts->loop.stop();
}
}
