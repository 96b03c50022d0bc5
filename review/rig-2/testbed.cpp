#include "testbed.h"

#include "global/hash.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "net/types/httpresult.h"
#include "platform/standins/storeserver.h"
#include "settings/jsonfile.h"
#include "standins/memorystore.h"
#include "upstreamhost.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace review {
namespace {
using namespace radishladder;

constexpr std::uint16_t kPacketsPort = 8172;
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kRelayPort = 8166;
constexpr std::uint16_t kOperationsPort = 7720;
constexpr std::uint16_t kPeersPort = 7735;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kHostPort = 8080;
constexpr int kFirstServicePort = 8000;
constexpr int kLanes = 100;

constexpr int kVmPart = 1;
constexpr int kHostPart = 2;
constexpr int kServicePart = 4;
constexpr int kRouterPart = 6;

constexpr milliseconds kProbePeriod{500};
constexpr milliseconds kProbeTimeout{400};
constexpr milliseconds kProcessPeriod{20};
constexpr milliseconds kRestartDelay{500};
constexpr milliseconds kMaxStartTime{8000};

//! Returns the value of the metric whose name ends with \a name; 0 if there is none.
double metricOf(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const std::string::size_type blank = line.rfind(' ');
        if (!line.starts_with('#') && blank != std::string::npos
            && line.substr(0, blank).ends_with(name)) {
            return std::stod(line.substr(blank));
        }
    }
    return 0;
}
}

Rig::Rig(std::string root, std::string scratch, Record &record)
    : record(record), root(std::move(root)), scratch(std::move(scratch)),
      store(std::make_unique<standins::MemoryStore>(this->loop)),
      storeHandler(std::make_unique<platform::StoreServer>(*this->store))
{
    // The store of the pages sends no era.
    this->store->setEra(0);
}

Rig::~Rig()
{
    for (const auto &vm : this->vms) {
        vm->probe.reset();
        vm->operations.reset();
        if (vm->process > 0) {
            ::kill(vm->process, SIGKILL);
            ::waitpid(vm->process, nullptr, 0);
        }
    }
}

void Rig::put(const std::string &key, const std::string &value)
{
    this->store->put(key, value);
}

void Rig::remove(const std::string &key)
{
    this->store->remove(key);
}

std::uint32_t Rig::address(int part, int number) const
{
    return 0x7f000000U | static_cast<std::uint32_t>(100 + this->lane) << 16U
        | static_cast<std::uint32_t>(part) << 8U | static_cast<std::uint32_t>(number);
}

net::Endpoint Rig::serviceEndpoint(int index) const
{
    return {this->address(kServicePart, 1), static_cast<std::uint16_t>(kFirstServicePort + index)};
}

void Rig::addVm(const std::string &zone)
{
    auto vm = std::make_unique<Vm>();
    const int number = static_cast<int>(this->vms.size()) + 1;
    vm->name = "edge-" + zone + "-" + std::to_string(number);
    vm->zone = zone;
    vm->address = this->address(kVmPart, number);
    this->vms.push_back(std::move(vm));
}

Host &Rig::addHost(const std::string &zone, const std::string &service)
{
    const int number = static_cast<int>(this->hosts.size()) + 1;
    const std::uint64_t id =
        hash64(service + zone + std::to_string(++this->lastHost)) & 0xffffffffU;
    this->hosts.push_back(std::make_unique<Host>(
        *this, id, service, zone, net::Endpoint{this->address(kHostPart, number), kHostPort}));
    return *this->hosts.back();
}

void Rig::publishConfiguration(const std::vector<std::pair<std::string, std::string>> &services,
                               double warmupPerSecond)
{
    Json::Value json;
    json["version"] = 1;
    json["routes"] = Json::arrayValue;
    json["services"] = Json::arrayValue;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const auto &[name, type] = services[i];
        Json::Value route;
        route["name"] = "r-" + name;
        route["hostname"] = net::addressText(this->address(kServicePart, 1));
        route["prefix"] = "/" + std::to_string(kFirstServicePort + static_cast<int>(i)) + "/";
        route["type"] = type;
        route["timeout_ms"] = 4000;
        route["target_latency_ms"] = 250;
        route["priority"] = 1;
        route["service"] = name;
        route["attempts"] = 2;
        json["routes"].append(route);
        Json::Value service;
        service["name"] = name;
        service["health_path"] = "/health";
        service["max_connections"] = 2000;
        service["protocol"] = "h1";
        service["tls"] = false;
        service["warmup_s"] = 2.0;
        service["warmup_per_s"] = warmupPerSecond;
        json["services"].append(service);
    }
    json["limits"]["idle_timeout_ms"] = 15000;
    this->put("op/config", settings::jsonText(json));
}

bool Rig::prepare()
{
    std::signal(SIGPIPE, SIG_IGN);
    const int first = static_cast<int>(::getpid()) % kLanes;
    Reason reason;
    for (int i = 0; i < kLanes && !this->routerSocket; ++i) {
        this->lane = (first + i) % kLanes;
        this->routerSocket = net::BatchSocket::open({this->address(kRouterPart, 1), 17000}, reason);
    }
    return this->routerSocket != nullptr;
}

bool Rig::startStoreFront(Vm &vm)
{
    vm.storeFront = std::make_unique<net::LibeventHttpServer>(this->loop);
    return vm.storeFront->start(
        {vm.address, kStorePort},
        [this, &vm](const net::HttpRequest &request, const net::IHttpServer::Responder &respond) {
            this->pass(vm, [this, &vm, request, respond]() {
                this->storeHandler->handle(
                    request,
                    [this, &vm, respond, path = request.path](const net::HttpResponse &response) {
                        this->pass(vm, [this, &vm, respond, path, response]() {
                            respond(response);
                            if (this->onStoreAnswer) {
                                this->onStoreAnswer(vm, path);
                            }
                        });
                    });
            });
        });
}

void Rig::pass(Vm &vm, std::function<void()> delivery)
{
    if (vm.isCut) {
        vm.heldUp.push_back(std::move(delivery));
    } else {
        delivery();
    }
}

void Rig::cutFromStore(Vm &vm, milliseconds duration)
{
    this->record.write(vm.name + " is partitioned from the store");
    vm.isCut = true;
    this->loop.after(duration, [this, &vm]() {
        this->record.write(vm.name + " reaches the store again");
        vm.isCut = false;
        vm.cutUntil = Clock::now();
        for (const auto &delivery : std::exchange(vm.heldUp, {})) {
            delivery();
        }
    });
}

void Rig::readRelayFollowers()
{
    for (const auto &vm : this->vms) {
        vm->operations = std::make_unique<net::LibeventHttpConnection>(
            this->loop, net::Endpoint{vm->address, kOperationsPort});
        vm->operations->send({.path = "/metrics", .timeout = kProbeTimeout},
                             [&vm = *vm](const net::HttpResult &result) {
                                 vm.relayFollowers = metricOf(result.body, "relay_followers");
                             });
    }
}

const Vm *Rig::findVm(std::uint32_t address) const
{
    const auto found =
        std::ranges::find(this->vms, address, [](const auto &vm) { return vm->address; });
    return found == this->vms.end() ? nullptr : found->get();
}

void Rig::writeSettings(const Vm &vm, bool isFirstStart) const
{
    const auto at = [&vm](std::uint16_t port) { return net::endpointText({vm.address, port}); };
    Json::Value json;
    json["name"] = vm.name;
    json["dataCentre"] = vm.zone;
    json["packets"] = at(kPacketsPort);
    json["readiness"] = at(kReadinessPort);
    json["operations"] = at(kOperationsPort);
    json["relay"] = at(kRelayPort);
    json["peers"] = at(kPeersPort);
    json["seeds"] = Json::arrayValue;
    for (std::size_t i = 0; i < std::min<std::size_t>(this->vms.size(), 3); ++i) {
        json["seeds"].append(net::endpointText({this->vms[i]->address, kRelayPort}));
    }
    json["firstStart"] = isFirstStart;
    json["store"] = at(kStorePort);
    Json::Value limits;
    limits["drainMs"] = 3000;
    limits["configurationMs"] = 3000;
    limits["evacuationMs"] = 5000;
    limits["storeRecoveryMs"] = 4000;
    limits["flowMaxSeconds"] = 60;
    limits["stopSeconds"] = 6;
    limits["warmupOverage"] = 1.5;
    limits["warmupSlack"] = 5;
    limits["linkMbps"] = 1000.0;
    limits["memoryMb"] = 260;
    json["limits"] = limits;
    std::ofstream(this->scratch + "/" + vm.name + ".json") << settings::jsonText(json) << '\n';
}

void Rig::startVm(Vm &vm, bool isFirstStart)
{
    this->writeSettings(vm, isFirstStart);
    std::string program = this->root + "/target/src/app/radishladderd";
    std::string option = "--settings";
    std::string path = this->scratch + "/" + vm.name + ".json";
    const std::string log = this->scratch + "/" + vm.name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::array<char *, 4> arguments{program.data(), option.data(), path.data(), nullptr};
    if (::posix_spawn(&vm.process, program.c_str(), &actions, nullptr, arguments.data(), environ)
        != 0) {
        vm.process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    this->record.write(vm.name + " started");
}

void Rig::probeVms()
{
    for (const auto &vm : this->vms) {
        if (vm->isProbing) {
            continue;
        }
        vm->isProbing = true;
        if (!vm->probe) {
            vm->probe = std::make_unique<net::LibeventHttpConnection>(
                this->loop, net::Endpoint{vm->address, kReadinessPort});
        }
        vm->probe->send({.path = "/radishladder/readyz", .timeout = kProbeTimeout},
                        [this, &vm = *vm](const net::HttpResult &result) {
                            const bool wasInRotation = vm.isInRotation();
                            vm.isProbing = false;
                            vm.missedProbes = result.status == 200 ? 0 : vm.missedProbes + 1;
                            if (vm.isInRotation() != wasInRotation) {
                                this->record.write(vm.name + (wasInRotation ? " left" : " entered")
                                                   + " the rotation");
                            }
                        });
    }
}

void Rig::restartEndedVms()
{
    for (const auto &vm : this->vms) {
        int status = 0;
        if (vm->process <= 0 || ::waitpid(vm->process, &status, WNOHANG) != vm->process) {
            continue;
        }
        vm->process = -1;
        this->record.write(vm->name + " ended, status " + std::to_string(status));
        this->loop.after(kRestartDelay, [this, &ended = *vm]() { this->startVm(ended, false); });
    }
}

void Rig::terminate(Vm &vm)
{
    this->record.write("SIGTERM to " + vm.name);
    ::kill(vm.process, SIGTERM);
}

Vm *Rig::selectVm(const flows::FlowKey &flow, const std::string &zone)
{
    // A steady hash: a VM that joins or leaves the rotation moves only its own flows.
    Vm *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const bool isInZone : {true, false}) {
        for (const auto &vm : this->vms) {
            const flows::FlowKey salted{flow.client,
                                        {flow.service.address ^ vm->address, flow.service.port}};
            const std::uint64_t score = flows::flowHash(salted);
            const bool isEligible = vm->isInRotation() && (vm->zone == zone) == isInZone;
            if (isEligible && (best == nullptr || score > bestScore)) {
                best = vm.get();
                bestScore = score;
            }
        }
        if (best != nullptr) {
            break;
        }
    }
    return best;
}

void Rig::route(const flows::FlowKey &flow, const std::string &zone,
                std::span<const std::uint8_t> datagram)
{
    const Vm *vm = this->selectVm(flow, zone);
    if (vm != nullptr) {
        this->routerSocket->send(datagram, {vm->address, kPacketsPort});
        this->routerSocket->flush();
    }
}

void Rig::recordViolation(const std::string &text)
{
    this->violations.push_back(text);
    this->record.write("BROKEN  " + text);
}

void Rig::beginWhenReady(milliseconds settleTime, milliseconds duration)
{
    const bool areReady =
        std::ranges::all_of(this->vms, [](const auto &vm) { return vm->isInRotation(); });
    if (this->isReady || !areReady) {
        return;
    }
    this->isReady = true;
    this->loop.after(settleTime, [this]() {
        this->record.write("the run begins");
        this->begin();
    });
    this->loop.after(settleTime + duration, [this]() { this->loop.stop(); });
}

bool Rig::run(milliseconds settleTime, milliseconds duration, std::function<void()> begin)
{
    this->begin = std::move(begin);
    this->loop.watchSignal(SIGTERM, [this]() { this->interrupt(); });
    this->loop.watchSignal(SIGINT, [this]() { this->interrupt(); });
    this->loop.watchSignal(SIGHUP, [this]() { this->interrupt(); });
    const bool areHostsUp = std::ranges::all_of(
        this->hosts, [](const auto &host) { return host->start(milliseconds(0)); });
    if (!areHostsUp) {
        return false;
    }
    for (const auto &vm : this->vms) {
        if (!this->startStoreFront(*vm)) {
            return false;
        }
        this->startVm(*vm, true);
    }
    this->loop.every(kProbePeriod, [this]() { this->probeVms(); });
    this->loop.every(kProcessPeriod, [this, settleTime, duration]() {
        this->restartEndedVms();
        this->beginWhenReady(settleTime, duration);
    });
    this->loop.after(kMaxStartTime, [this]() {
        if (!this->isReady) {
            this->loop.stop();
        }
    });
    this->loop.run();
    return this->isReady && !this->isInterrupted;
}

void Rig::interrupt()
{
    this->isInterrupted = true;
    this->loop.stop();
}
}
