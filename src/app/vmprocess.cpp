#include "app/vmprocess.h"

#include "app/evidenceexchange.h"
#include "app/httpservers.h"
#include "app/operationspages.h"
#include "app/packetpath.h"
#include "app/peersocket.h"
#include "app/readiness.h"
#include "app/sharedflowexchange.h"
#include "app/stoppolicy.h"
#include "app/storeview.h"
#include "distribution/relayserver.h"
#include "flows/flowdirector.h"
#include "flows/flowtable.h"
#include "flows/types/serviceloadreport.h"
#include "global/hash.h"
#include "global/seededrandom.h"
#include "global/systemclock.h"
#include "net/libeventhttpconnection.h"
#include "net/libeventloop.h"
#include "net/meteredconnection.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "net/types/trafficmeter.h"
#include "placement/localfirstpolicy.h"
#include "placement/priorityadmission.h"
#include "placement/serviceload.h"
#include "placement/spillcontrol.h"
#include "placement/warmuppacer.h"
#include "platform/echopacketcodec.h"
#include "routing/routetable.h"
#include "settings/vmsettingsreader.h"
#include "supervision/supervisor.h"
#include "telemetry/boundedeventlog.h"
#include "telemetry/descriptorsink.h"
#include "telemetry/igauge.h"
#include "telemetry/prometheusmetrics.h"
#include "telemetry/types/logentry.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace radishladder::app {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;

constexpr std::chrono::milliseconds kTickInterval{250};
constexpr std::chrono::milliseconds kStopCheckInterval{50};
constexpr std::size_t kLogBufferBytes = 256 * 1024;

//! Memory per flow, including its share of the table's overhead, in bytes.
constexpr std::size_t kFlowBytes = 160;

//! While a VM restarts in a data centre with fewer members than this, the routers may send its
//! clients to other data centres.
constexpr std::size_t kMinOwnMembers = 3;

//! Flow records may use the configured memory divided by this number.
constexpr std::size_t kFlowMemoryDivisor = 4;

std::size_t flowCapacity(const settings::VmSettings &settings)
{
    const std::size_t bytes = static_cast<std::size_t>(settings.memoryMb) * 1024 * 1024;
    return bytes / kFlowMemoryDivisor / kFlowBytes;
}

flows::DirectorLimits directorLimits(const settings::VmSettings &settings, bool isFrozen,
                                     bool isWithdrawn)
{
    // The rest of the longest delay covers the way of the order from the store to this VM.
    const auto evacuationGrace = settings.maxEvacuationDelay * 3 / 5;
    return {.warmupOverage = settings.warmupOverage,
            .warmupSlack = settings.warmupSlack,
            .evacuationGrace = evacuationGrace,
            .detectSilence = settings.allowsAutomaticActions && !isFrozen,
            .resetSilentFlows = !isWithdrawn};
}

}

struct VmProcess::Parts
{
    Parts(settings::VmSettings initialSettings, std::string path)
        : settings(std::move(initialSettings)), settingsPath(std::move(path)),
          random(hash64(this->settings.name.str())
                 ^ static_cast<std::uint64_t>(this->clock.now().time_since_epoch().count())),
          log(this->clock, this->sink, this->settings.flowLogLinesPerSecond, kLogBufferBytes),
          registry(this->settings.maxFlowLifetime), table(flowCapacity(this->settings)),
          placementPolicy(this->random), admissionPolicy(this->random), spillControl(this->random),
          storeView(this->settings, this->loop, this->clock, this->log, this->routes,
                    this->registry,
                    [this](const net::Endpoint &server) { return this->connect(server); }),
          director(this->routes, this->registry, this->storeView.membership(), this->table,
                   this->placementPolicy, this->pacer, this->admissionPolicy, this->serviceLoad,
                   this->spillControl, this->settings.name, this->settings.dataCentre,
                   directorLimits(this->settings, false, false)),
          stopPolicy(this->settings.stop),
          readiness(this->director, this->routes, this->registry, this->table, this->stopPolicy,
                    this->clock, this->log, this->settings.dataCentre),
          pages(this->settings, this->clock, this->routes, this->registry,
                this->storeView.membership(), this->table, this->director, this->metrics,
                this->log),
          packetPath(this->loop, this->clock, this->codec, this->director, this->log, this->metrics,
                     this->settings.packets),
          servers(this->loop), supervisor("root", this->clock, this->log)
    { }

    //! Creates a connection to \a server whose bytes are counted as control traffic.
    std::unique_ptr<net::IHttpConnection> connect(const net::Endpoint &server);

    bool start();
    void addServers();
    //! Exchanges evidence and flows with other VMs if the settings have an address for it.
    void addPeerExchanges();
    //! Adds the VMs that get the clients of this data centre while none of its own VMs does.
    void addNeighbours();
    void requestSharedFlows();
    //! Shares flows with the VMs that get the clients of this VM while it is out of rotation.
    void updateLeaving();
    void watchSignals();
    void publishGauges();
    void publishServiceLoads();
    void applyLimits();
    void tick();
    void requestStop();
    void exitIfAllowed();
    void reload();

    settings::VmSettings settings;
    std::string settingsPath;
    SystemClock clock;
    net::LibeventLoop loop;
    SeededRandom random;
    telemetry::DescriptorSink sink{STDOUT_FILENO};
    telemetry::BoundedEventLog log;
    telemetry::PrometheusMetrics metrics;
    net::TrafficMeter controlTraffic;
    std::chrono::steady_clock::time_point startedAt;
    routing::RouteTable routes;
    upstreams::UpstreamRegistry registry;
    flows::FlowTable table;
    placement::LocalFirstPolicy placementPolicy;
    placement::WarmupPacer pacer;
    placement::PriorityAdmission admissionPolicy;
    placement::ServiceLoad serviceLoad;
    placement::SpillControl spillControl;
    StoreView storeView;
    flows::FlowDirector director;
    platform::EchoPacketCodec codec;
    StopPolicy stopPolicy;
    Readiness readiness;
    OperationsPages pages;
    PacketPath packetPath;
    std::unique_ptr<PeerSocket> peerSocket;
    std::unique_ptr<EvidenceExchange> evidenceExchange;
    std::unique_ptr<SharedFlowExchange> sharedFlowExchange;
    HttpServers servers;
    supervision::Supervisor supervisor;
    Reason reason;
    bool isLeaving = false;
};

bool VmProcess::Parts::start()
{
    this->startedAt = this->clock.now();
    this->supervisor.add(this->packetPath);
    this->addPeerExchanges();
    this->addServers();
    this->servers.registerWith(this->supervisor);
    if (!this->supervisor.start()) {
        this->reason = this->supervisor.lastReason();
        return false;
    }
    this->storeView.start(
        [this](bool isConnected) { this->readiness.setStoreConnected(isConnected); });
    this->packetPath.setConfirmationHandler(
        [this](const flows::FlowDecision &decision) { this->storeView.confirm(decision); });
    this->watchSignals();
    this->loop.every(kTickInterval, [this]() { this->tick(); });
    this->log.write(LogEntry(LogKind::State, "process.started")
                        .text("vm", this->settings.name.str())
                        .text("data_centre", this->settings.dataCentre.str())
                        .text("packets", net::endpointText(this->settings.packets))
                        .text("store", net::endpointText(this->settings.store)));
    return true;
}

std::unique_ptr<net::IHttpConnection> VmProcess::Parts::connect(const net::Endpoint &server)
{
    auto connection = std::make_unique<net::LibeventHttpConnection>(this->loop, server);
    return std::make_unique<net::MeteredConnection>(std::move(connection), this->controlTraffic);
}

void VmProcess::Parts::addServers()
{
    using net::HttpRequest;
    using Responder = net::IHttpServer::Responder;
    if (this->settings.relay) {
        this->servers.add("relay", *this->settings.relay, &distribution::RelayServer::acceptsPath,
                          [this](const HttpRequest &request, const Responder &respond) {
                              this->storeView.relay().handle(
                                  request, [this, respond](const net::HttpResponse &response) {
                                      this->controlTraffic.sentBytes += response.body.size();
                                      respond(response);
                                  });
                          });
    }
    this->servers.add("operations", this->settings.operations, &OperationsPages::isPage,
                      [this](const HttpRequest &request, const Responder &respond) {
                          respond(this->pages.handle(request));
                      });
    this->servers.add(
        "readiness", this->settings.readiness, [](const std::string &) { return true; },
        [this](const HttpRequest &, const Responder &respond) {
            respond(this->readiness.handleProbe());
        });
}

void VmProcess::Parts::addPeerExchanges()
{
    if (!this->settings.peers) {
        return;
    }
    const membership::IMembership &membership = this->storeView.membership();
    this->peerSocket = std::make_unique<PeerSocket>(
        PeerSocket::Parts{this->loop, this->clock, membership, this->log, this->controlTraffic},
        this->settings.name, *this->settings.peers);
    this->evidenceExchange = std::make_unique<EvidenceExchange>(
        EvidenceExchange::Parts{this->loop, this->clock, this->random, *this->peerSocket,
                                membership, this->registry, this->table, this->log, this->metrics},
        this->settings.name);
    this->table.setSharedEvidence(&this->evidenceExchange->sharedEvidence());
    this->director.setSharedEvidence(&this->evidenceExchange->sharedEvidence());
    this->sharedFlowExchange = std::make_unique<SharedFlowExchange>(SharedFlowExchange::Parts{
        this->loop, this->clock, *this->peerSocket, this->table, this->metrics});
    this->director.setSharedFlows(&this->sharedFlowExchange->sharedFlows());
    this->storeView.setMembersListedHandler([this]() { this->requestSharedFlows(); });
    this->peerSocket->start();
}

void VmProcess::Parts::requestSharedFlows()
{
    this->peerSocket->updateMembers();
    this->sharedFlowExchange->requestFlows();
    this->addNeighbours();
}

void VmProcess::Parts::addNeighbours()
{
    const bool isServedElsewhere = this->routes.isEvacuated(this->settings.dataCentre)
        || this->storeView.membership().members().size() < kMinOwnMembers;
    if (isServedElsewhere) {
        this->storeView.listFleet([this](const std::vector<net::Endpoint> &relays) {
            this->sharedFlowExchange->addNeighbours(relays);
        });
    }
}

void VmProcess::Parts::updateLeaving()
{
    const bool isLeavingNow = this->stopPolicy.isStopping() || this->readiness.isWithdrawn();
    if (!this->sharedFlowExchange || isLeavingNow == this->isLeaving) {
        return;
    }
    this->isLeaving = isLeavingNow;
    this->director.setLeaving(isLeavingNow, this->clock.now());
    if (isLeavingNow) {
        this->addNeighbours();
    } else {
        this->sharedFlowExchange->requestFlows();
    }
}

void VmProcess::Parts::watchSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    this->loop.watchSignal(SIGTERM, [this]() { this->requestStop(); });
    this->loop.watchSignal(SIGINT, [this]() { this->requestStop(); });
    this->loop.watchSignal(SIGHUP, [this]() { this->reload(); });
}

void VmProcess::Parts::tick()
{
    const auto now = this->clock.now();
    this->packetPath.recordRunning();
    if (this->peerSocket) {
        this->peerSocket->tick();
        this->evidenceExchange->tick();
        this->sharedFlowExchange->tick(this->routes.idleTimeout());
    }
    this->storeView.tick();
    this->applyLimits();
    this->table.sweep(now, this->routes.idleTimeout());
    this->pacer.sweep(now);
    this->supervisor.supervise();
    this->readiness.tick();
    this->updateLeaving();
    this->publishGauges();
    this->log.flush();
    if (!this->supervisor.isHealthy()) {
        this->reason = this->supervisor.lastReason();
        this->loop.stop();
    }
}

void VmProcess::Parts::publishGauges()
{
    this->storeView.calls().forEach([this](std::string_view purpose, std::uint64_t count) {
        this->metrics.gauge("store_calls_by_purpose", {{"purpose", std::string(purpose)}})
            .set(static_cast<double>(count));
    });
    this->metrics.gauge("store_calls").set(static_cast<double>(this->storeView.calls().total()));
    this->metrics.gauge("store_era").set(static_cast<double>(this->storeView.era()));
    this->metrics.gauge("control_sent_bytes")
        .set(static_cast<double>(this->controlTraffic.sentBytes));
    this->metrics.gauge("control_received_bytes")
        .set(static_cast<double>(this->controlTraffic.receivedBytes));
    this->metrics.gauge("relay_followers")
        .set(static_cast<double>(this->storeView.relay().pendingCount()));
    this->metrics.gauge("log_lines_left_out").set(static_cast<double>(this->log.droppedLines()));
    this->publishServiceLoads();
}

void VmProcess::Parts::publishServiceLoads()
{
    for (const flows::ServiceLoadReport &report : this->director.serviceLoads(this->clock.now())) {
        const std::vector<telemetry::Label> labels = {{"service", report.service.str()},
                                                      {"data_centre", report.dataCentre.str()}};
        this->metrics.gauge("service_pressure", labels).set(report.pressure.value_or(0));
        this->metrics.gauge("service_response_seconds", labels)
            .set(std::chrono::duration<double>(report.load.responseTime).count());
        this->metrics.gauge("service_requests_per_slot", labels).set(report.load.requestsPerSlot);
    }
}

void VmProcess::Parts::applyLimits()
{
    this->director.setLimits(
        directorLimits(this->settings, this->storeView.isFrozen(), this->readiness.isWithdrawn()));
}

void VmProcess::Parts::requestStop()
{
    if (this->stopPolicy.isStopping()) {
        return;
    }
    this->stopPolicy.requestStop(this->clock.now());
    this->storeView.leave();
    this->updateLeaving();
    this->log.write(LogEntry(LogKind::State, "process.stopping"));
    this->loop.every(kStopCheckInterval, [this]() { this->exitIfAllowed(); });
}

void VmProcess::Parts::exitIfAllowed()
{
    if (this->stopPolicy.canExit(this->packetPath.lastPacketTime(), this->clock.now())) {
        const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->clock.now() - this->startedAt);
        this->log.write(
            LogEntry(LogKind::State, "process.stopped")
                .number("flows", static_cast<std::int64_t>(this->table.size()))
                .duration("uptime_ms", uptime)
                .number("store_calls", static_cast<std::int64_t>(this->storeView.calls().total()))
                .number("control_sent_bytes",
                        static_cast<std::int64_t>(this->controlTraffic.sentBytes))
                .number("control_received_bytes",
                        static_cast<std::int64_t>(this->controlTraffic.receivedBytes)));
        this->loop.stop();
    }
}

void VmProcess::Parts::reload()
{
    settings::VmSettingsReader reader;
    const auto newSettings = reader.read(this->settingsPath);
    if (!newSettings) {
        this->log.write(LogEntry(LogKind::State, "settings.rejected")
                            .text("code", resultCodeName(reader.lastReason().code))
                            .text("detail", reader.lastReason().detail));
        return;
    }
    const bool isRestartNeeded = settings::needsRestart(this->settings, *newSettings);
    this->settings.allowsAutomaticActions = newSettings->allowsAutomaticActions;
    this->settings.warmupOverage = newSettings->warmupOverage;
    this->settings.warmupSlack = newSettings->warmupSlack;
    this->settings.maxEvacuationDelay = newSettings->maxEvacuationDelay;
    this->applyLimits();
    this->log.write(LogEntry(LogKind::State, "settings.reloaded")
                        .text("addresses", isRestartNeeded ? "need a restart" : "unchanged"));
}

VmProcess::VmProcess(settings::VmSettings settings, std::string settingsPath)
    : parts(std::make_unique<Parts>(std::move(settings), std::move(settingsPath)))
{ }

VmProcess::~VmProcess() = default;

bool VmProcess::run()
{
    if (!this->parts->start()) {
        return false;
    }
    this->parts->loop.run();
    this->parts->supervisor.stop();
    this->parts->log.flush();
    return this->parts->reason.code == ResultCode::Ok;
}

Reason VmProcess::lastReason() const
{
    return this->parts->reason;
}
}
