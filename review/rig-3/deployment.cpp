#include "deployment.h"

#include <json/json.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace radishladder::review {
namespace {
using Duration = EventLoop::Duration;

constexpr std::uint16_t kPacketsPort = 8172;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kRouterPort = 8170;
constexpr std::uint16_t kRoutePort = 8443;
constexpr Duration kReadyCheckInterval{100};
constexpr Duration kMaxStart{15000};
constexpr int kCannotRun = 2;

//! Second bytes of the addresses of deployments that run at the same time.
constexpr std::uint32_t kFirstNetwork = 64;
constexpr std::uint32_t kNetworks = 128;

//! Third bytes of the addresses of each kind of machine.
constexpr std::uint32_t kVmGroup = 1;
constexpr std::uint32_t kHostGroup = 2;
constexpr std::uint32_t kClientGroup = 3;
constexpr std::uint32_t kStoreGroup = 4;
constexpr std::uint32_t kRouterGroup = 5;
constexpr std::uint32_t kRouteGroup = 6;

//! VMs whose addresses are the seeds.
constexpr std::uint32_t kSeeds = 3;
}

Deployment::Deployment(const std::string &recordPath, std::string folder,
                       std::vector<std::string> command)
    : recordFile(recordPath), folder(std::move(folder)), command(std::move(command))
{
    const auto first = static_cast<std::uint32_t>(::getpid());
    int socket = -1;
    for (std::uint32_t i = 0; socket < 0 && i < kNetworks; ++i) {
        this->network = 0x7f000000U | (kFirstNetwork + (first + i) % kNetworks) << 16U;
        socket = tryOpenSocket(SOCK_DGRAM, {this->addressAt(kRouterGroup, 0), kRouterPort});
    }
    if (socket < 0) {
        std::cerr << "no loopback network is free\n";
        std::exit(kCannotRun);
    }
    this->router = std::make_unique<Router>(this->loop, socket);
}

std::uint32_t Deployment::addressAt(std::uint32_t group, std::uint32_t index) const
{
    return this->network | group << 8U | (index + 1);
}

Endpoint Deployment::routeAddress(std::uint16_t index) const
{
    return {this->addressAt(kRouteGroup, index), kRoutePort};
}

Endpoint Deployment::storeAddressOf(std::size_t vm) const
{
    return {this->addressAt(kStoreGroup, static_cast<std::uint32_t>(vm)), kStorePort};
}

void Deployment::addVms(const std::string &zone, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = this->vms.size();
        const Vm::Settings settings{
            .name = "edge-" + std::to_string(index + 1),
            .zone = zone,
            .address = this->addressAt(kVmGroup, static_cast<std::uint32_t>(index)),
            .packetsPort = kPacketsPort,
            .store = this->storeAddressOf(index),
            .seeds = this->seeds()};
        this->store.listen(settings.store);
        this->vms.push_back(std::make_unique<Vm>(settings, this->command, this->folder));
        this->router->add({zone, this->vms.back()->packets(), this->vms.back()->readiness()});
    }
}

std::vector<Endpoint> Deployment::seeds() const
{
    std::vector<Endpoint> seeds;
    for (std::uint32_t index = 0; index < kSeeds; ++index) {
        seeds.push_back(Vm::relayOf(this->addressAt(kVmGroup, index)));
    }
    return seeds;
}

Host &Deployment::addHost(const HostSettings &partial)
{
    HostSettings settings = partial;
    const auto index = static_cast<std::uint32_t>(this->hosts.size());
    settings.id = 0x7f3a0100U + index * 0x1111U;
    settings.address = {this->addressAt(kHostGroup, index), kPacketsPort};
    this->hosts.push_back(std::make_unique<Host>(this->loop, this->store, settings));
    return *this->hosts.back();
}

void Deployment::addClients(const std::string &zone, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const Endpoint local{
            this->addressAt(kClientGroup, static_cast<std::uint32_t>(this->clients.size())),
            kPacketsPort};
        this->clients.push_back(std::make_unique<Client>(this->loop, *this->router, local, zone));
    }
}

void Deployment::configure(int version, const std::vector<Route> &routes,
                           const std::vector<Service> &services)
{
    Json::Value json;
    json["version"] = version;
    json["routes"] = Json::arrayValue;
    json["services"] = Json::arrayValue;
    for (const Route &route : routes) {
        Json::Value entry;
        entry["name"] = route.name;
        entry["hostname"] = addressText(route.address.address);
        entry["prefix"] = "/" + std::to_string(route.address.port) + "/";
        entry["type"] = route.type;
        entry["timeout_ms"] = 3000;
        entry["target_latency_ms"] = route.targetLatencyMs;
        entry["priority"] = route.priority;
        entry["service"] = route.service;
        entry["attempts"] = 2;
        json["routes"].append(entry);
    }
    for (const Service &service : services) {
        Json::Value entry;
        entry["name"] = service.name;
        entry["health_path"] = "/health";
        entry["max_connections"] = service.maxConnections;
        entry["warmup_s"] = 2.0;
        entry["warmup_per_s"] = service.warmupPerSecond;
        json["services"].append(entry);
    }
    json["limits"]["idle_timeout_ms"] = 15000;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    this->store.put("op/config", Json::writeString(builder, json));
    this->record("operator: configuration " + std::to_string(version) + " acknowledged");
}

int Deployment::run(const std::function<void()> &onReady)
{
    for (const auto &vm : this->vms) {
        vm->start();
    }
    this->router->start();
    this->awaitReady(onReady);
    this->checkProcesses();
    this->loop.run();
    return this->status;
}

void Deployment::awaitReady(const std::function<void()> &onReady)
{
    if (this->router->areAllReady()) {
        this->record("all VMs are ready");
        onReady();
    } else if (this->loop.elapsed() > kMaxStart) {
        std::cerr << "the VMs did not get ready\n";
        this->status = kCannotRun;
        this->loop.stop();
    } else {
        this->loop.after(kReadyCheckInterval, [this, onReady]() { this->awaitReady(onReady); });
    }
}

void Deployment::checkProcesses()
{
    for (const auto &vm : this->vms) {
        if (vm->hasEnded()) {
            std::cerr << vm->vmSettings().name << " has ended by itself\n";
            this->status = kCannotRun;
            this->loop.stop();
        }
    }
    this->loop.after(kReadyCheckInterval, [this]() { this->checkProcesses(); });
}

void Deployment::finish(bool isBroken)
{
    this->record(isBroken ? "result: the rule was broken" : "result: the rule held");
    this->status = isBroken ? 1 : 0;
    this->loop.stop();
}

void Deployment::restartVm(std::size_t index)
{
    this->vms[index]->kill(SIGTERM);
    this->startOnceStopped(index);
}

void Deployment::startOnceStopped(std::size_t index)
{
    if (this->vms[index]->hasStopped()) {
        this->record(this->vms[index]->vmSettings().name + ": has ended and starts again");
        this->vms[index]->start();
        return;
    }
    this->loop.after(kReadyCheckInterval, [this, index]() { this->startOnceStopped(index); });
}

void Deployment::stopVm(std::size_t index)
{
    this->vms[index]->kill(SIGKILL);
    this->vms[index]->wait();
}

void Deployment::record(const std::string &line)
{
    this->recordFile << this->loop.elapsed().count() << " ms: " << line << '\n';
    this->recordFile.flush();
}
}
