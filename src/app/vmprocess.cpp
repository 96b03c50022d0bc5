#include "app/vmprocess.h"

#include "app/datapath.h"
#include "app/fleet.h"
#include "app/flowparts.h"
#include "app/requestfront.h"
#include "app/requestparts.h"
#include "app/vmstatusprovider.h"
#include "global/systemclock.h"
#include "net/asioeventloop.h"
#include "net/batchsocket.h"
#include "net/curlhttpclient.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "operations/accesspolicy.h"
#include "operations/admincalls.h"
#include "operations/adminserver.h"
#include "settings/types/configuration.h"
#include "store/etcdstore.h"
#include "supervision/supervisor.h"
#include "telemetry/igauge.h"
#include "telemetry/prometheusmetrics.h"
#include "telemetry/timeline.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace radishladder::app {
namespace {
constexpr std::chrono::milliseconds kSupervisionPeriod{100};
constexpr std::chrono::milliseconds kStopCheck{20};

//! Without arrivals for this long the fabric hands this VM nothing any more.
constexpr std::chrono::milliseconds kQuietBeforeStop{1000};

//! Time for the last answers to leave the server's buffers.
constexpr std::chrono::milliseconds kAnswerFlush{300};

//! How long a stopping VM waits until all others know that it has released its slots.
constexpr std::chrono::milliseconds kLongestRelease{2000};

//! A stopping VM serves what still arrives for this long at most.
constexpr std::chrono::seconds kLongestService{15};

int exitCodeOf(ResultCode code)
{
    return static_cast<int>(code) / 100;
}
}

//! What the process owns before anything is bound.
struct VmProcess::Parts
{
    explicit Parts(settings::VmSettings vmSettings)
        : settings(std::move(vmSettings)), client(this->loop, this->settings.data.address)
    { }

    settings::VmSettings settings;
    SystemClock clock;
    net::AsioEventLoop loop;
    telemetry::PrometheusMetrics metrics;
    telemetry::TimeLine timeLine{this->clock, this->settings.name, this->settings.dataCentre};
    net::CurlHttpClient client;
    store::EtcdStore store{this->client, this->settings.platform};
    supervision::Supervisor root{"root", this->clock, this->timeLine};
    std::atomic<bool> ready = false;
    std::unique_ptr<net::BatchSocket> peerSocket;
    std::unique_ptr<Running> running;
    int signals = -1;
    bool stopping = false;
    bool refusing = false;
    std::chrono::steady_clock::time_point releasedAt{};
    std::chrono::steady_clock::time_point doneAt{};
    int exitCode = 0;
};

//! What works once the socket between the VMs is bound.
struct VmProcess::Running
{
    explicit Running(Parts &parts)
        : fleet(parts.settings, *parts.peerSocket, parts.client, parts.store, parts.clock,
                parts.timeLine, parts.metrics),
          flows(parts.settings, this->fleet, parts.client, parts.store, parts.clock, parts.timeLine,
                parts.metrics),
          requests(parts.settings, this->fleet, this->flows.upstreams, parts.client, parts.metrics,
                   parts.clock),
          status(parts.settings, this->fleet, this->flows, parts.clock),
          calls(operations::AccessPolicy(parts.settings.adminToken, parts.settings.openReads),
                this->status, parts.timeLine, this->status),
          admin(parts.settings.admin, parts.metrics, [&parts] { return parts.ready.load(); }),
          dataPath(parts.settings.data, *this->flows.router, parts.clock, parts.loop,
                   parts.metrics),
          front(parts.settings.requests, *this->requests.handler, parts.loop, parts.clock)
    {
        this->admin.serveCalls(this->calls, parts.loop);
        this->admin.servePath(
            distribution::DocumentServer::kPath,
            [this](const net::HttpRequest &request) { return this->fleet.server.answer(request); });
        parts.root.add(this->admin);
        parts.root.add(this->dataPath);
        parts.root.add(this->front);
    }

    Fleet fleet;
    FlowParts flows;
    RequestParts requests;
    VmStatusProvider status;
    operations::AdminCalls calls;
    operations::AdminServer admin;
    DataPath dataPath;
    RequestFront front;
};

VmProcess::VmProcess(settings::VmSettings settings)
    : parts(std::make_unique<Parts>(std::move(settings)))
{ }

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
    Reason reason;
    parts.peerSocket = net::BatchSocket::open(parts.settings.peer, reason);
    if (parts.peerSocket) {
        parts.running = std::make_unique<Running>(parts);
        if (!parts.root.start()) {
            reason = parts.root.lastReason();
        }
    }
    if (reason.code != ResultCode::Ok) {
        parts.timeLine.record(
            {.kind = "vm.start-failed", .reason = reason.code, .detail = reason.detail});
        return exitCodeOf(reason.code);
    }
    parts.timeLine.record({.kind = "vm.started"});
    this->startTicks();
    parts.loop.run();
    return parts.exitCode;
}

void VmProcess::startTicks()
{
    Parts &parts = *this->parts;
    Running &running = *parts.running;
    running.fleet.run(parts.loop);
    running.flows.run(parts.loop, parts.clock);
    running.requests.run(parts.loop, parts.clock);
    running.fleet.configuration.subscribe([&parts](const settings::Configuration &accepted) {
        parts.metrics.gauge("configuration_generation")
            .set(static_cast<double>(accepted.generation));
    });
    parts.loop.every(kSupervisionPeriod, [this, &parts, &running] {
        parts.root.supervise();
        parts.ready = !parts.stopping && running.fleet.configuration.current()->generation > 0;
        if (!parts.root.isHealthy()) {
            parts.exitCode = exitCodeOf(ResultCode::ComponentEscalated);
            this->finishStop();
        }
    });
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
    Running &running = *parts.running;
    parts.stopping = true;
    parts.ready = false;
    parts.timeLine.record({.kind = "vm.stopping"});
    running.fleet.membership.announceLeaving();
    running.flows.router->prepareStop(parts.clock.now());
    const auto stopBegan = parts.clock.now();
    parts.loop.every(kStopCheck, [this, stopBegan] { this->continueStop(stopBegan); });
}

void VmProcess::continueStop(std::chrono::steady_clock::time_point stopBegan)
{
    Parts &parts = *this->parts;
    Running &running = *parts.running;
    const auto now = parts.clock.now();
    // The fabric learns late that this VM is leaving; until nothing arrives any more everything is
    // served as before.
    const auto lastArrival =
        std::max({stopBegan, running.dataPath.lastArrival(), running.front.lastArrival()});
    const bool isQuiet = now - lastArrival >= kQuietBeforeStop;
    if (!parts.refusing && (isQuiet || now - stopBegan >= kLongestService)) {
        parts.refusing = true;
        parts.timeLine.record({.kind = "vm.refusing"});
        running.requests.handler->stopAccepting();
    }
    if (!parts.refusing || running.requests.handler->running() > 0) {
        return;
    }
    upstreams::Upstreams &upstreams = running.flows.upstreams;
    if (parts.releasedAt == std::chrono::steady_clock::time_point()) {
        parts.releasedAt = now;
        upstreams.announceRelease();
    }
    const bool isReleased =
        upstreams.isReleaseKnown(now) || now - parts.releasedAt >= kLongestRelease;
    if (!isReleased || !running.flows.router->isReadyToStop(now)) {
        return;
    }
    if (parts.doneAt == std::chrono::steady_clock::time_point()) {
        parts.doneAt = now;
    }
    // The server writes its last answers on threads of its own.
    if (now - parts.doneAt >= kAnswerFlush) {
        this->finishStop();
    }
}

void VmProcess::finishStop()
{
    this->parts->timeLine.record({.kind = "vm.stopped"});
    this->parts->root.stop();
    this->parts->loop.stop();
}
}
