#include "deployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <unistd.h>

namespace review {
namespace {
const std::string kZone = "zone-a";
const std::string kOrders = "orders";
const std::string kStock = "stock";
constexpr std::uint16_t kStockPort = 8081;
constexpr std::uint16_t kAddedPort = 8082;
constexpr Milliseconds kReadyCheck{100};
constexpr double kReadyLimitSeconds = 12;
constexpr int kMaxVms = 8;

std::uint32_t storeAddress()
{
    return loopback(77, 2);
}

std::uint32_t vmAddress(int vm)
{
    return loopback(77, static_cast<unsigned>(11 + vm));
}

std::string routeText(const std::string &name, const Endpoint &address, const std::string &service,
                      const std::string &kind)
{
    return "{\"name\":\"" + name + "\",\"hostname\":\"" + addressText(address.address)
        + "\",\"prefix\":\"/" + std::to_string(address.port) + "/\",\"type\":\"" + kind
        + "\",\"timeout_ms\":4000,\"target_latency_ms\":250,\"priority\":1,"
          "\"service\":\""
        + service + "\",\"attempts\":2}";
}

std::string serviceText(const std::string &name, Milliseconds warmup)
{
    return "{\"name\":\"" + name
        + "\",\"health_path\":\"/"
          "health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false,"
          "\"warmup_s\":"
        + std::to_string(warmup.count() / 1000) + ".0,\"warmup_per_s\":0.0}";
}

std::uint64_t score(const FlowKey &flow, std::uint32_t vm)
{
    std::uint64_t value = std::uint64_t{flow.client.address} << 16U ^ flow.client.port
        ^ std::uint64_t{vm} << 40U ^ flow.service.port;
    value = (value ^ value >> 30U) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ value >> 27U) * 0x94d049bb133111ebULL;
    return value ^ value >> 31U;
}
}

Deployment::Deployment(const std::string &program, const std::string &folder)
    : record(this->loop, folder + "/record.txt"), program(program)
{ }

Deployment::~Deployment()
{
    this->vms.clear();
    if (this->routerSocket >= 0) {
        ::close(this->routerSocket);
    }
    if (!this->directory.empty() && std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(this->directory);
    }
}

Endpoint Deployment::service() const
{
    return {loopback(77, 200), 8080};
}

bool Deployment::start(int vmCount, Milliseconds startDelay)
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        return false;
    }
    this->directory = pattern;
    std::vector<std::uint32_t> addresses{storeAddress(), loopback(77, 100)};
    for (int i = 0; i < kMaxVms; ++i) {
        addresses.push_back(vmAddress(i));
    }
    const std::uint16_t port = findFreePort(addresses);
    std::vector<std::uint16_t> ports{port};
    for (std::uint16_t next = port; port != 0 && ports.size() < 4;) {
        ports.push_back(++next);
    }
    this->packetPort = port;
    this->store = std::make_unique<Store>(this->loop, Endpoint{storeAddress(), port});
    this->client = std::make_unique<Client>(
        this->loop, this->record, Endpoint{loopback(77, 100), port},
        [this](const FlowKey &flow, const Packet &packet) { this->send(flow, packet); });
    this->routerSocket = openUdp({loopback(77, 1), 0});
    if (port == 0 || !this->store->start() || !this->client->start() || this->routerSocket < 0) {
        return false;
    }
    this->configure(3, false);
    for (int i = 0; i < vmCount; ++i) {
        this->vms.push_back(std::make_unique<Vm>(this->loop, this->record,
                                                 Vm::Settings{.name = "vm-" + std::to_string(i + 1),
                                                              .zone = kZone,
                                                              .address = vmAddress(i),
                                                              .store = {storeAddress(), port},
                                                              .packets = port,
                                                              .readiness = ports[1],
                                                              .relay = ports[2],
                                                              .operations = ports[3],
                                                              .seeds = {vmAddress(0), vmAddress(1)},
                                                              .program = this->program,
                                                              .directory = this->directory}));
        this->loop.after(startDelay * i, [vm = this->vms.back().get()]() {
            vm->start(true);
            vm->startProbes();
        });
    }
    return true;
}

void Deployment::configure(int version, bool hasAddedRoute)
{
    const std::uint32_t address = this->service().address;
    const std::string added =
        hasAddedRoute ? "," + routeText("r-3", {address, kAddedPort}, kOrders, this->kind) : "";
    this->store->put("op/config",
                     "{\"version\":" + std::to_string(version) + ",\"routes\":["
                         + routeText("r-1", this->service(), kOrders, this->kind) + ","
                         + routeText("r-2", {address, kStockPort}, kStock, "unsafe") + added
                         + "],\"services\":[" + serviceText(kOrders, this->warmup) + ","
                         + serviceText(kStock, this->warmup)
                         + "],\"limits\":{\"idle_timeout_ms\":15000}}");
}

Host *Deployment::addHost(std::uint64_t id, Milliseconds work, const std::string &service,
                          const Host *previous)
{
    const auto number = static_cast<unsigned>(this->hosts.size());
    this->hosts.push_back(std::make_unique<Host>(
        this->loop, *this->store, this->record,
        Host::Settings{.id = id,
                       .name = "host-" + std::to_string(number + 1),
                       .zone = kZone,
                       .service = service,
                       .address = previous != nullptr
                           ? previous->about().address
                           : Endpoint{loopback(77, 150 + number), this->packetPort},
                       .clientPort = this->packetPort,
                       .work = work,
                       .slots = this->slots,
                       .warmup = this->isReady ? this->warmup : Milliseconds(0)}));
    return this->hosts.back()->start() ? this->hosts.back().get() : nullptr;
}

void Deployment::whenReady(const std::function<void()> &task)
{
    bool areReady = true;
    for (const auto &vm : this->vms) {
        areReady = areReady && vm->isInRotation();
    }
    if (areReady) {
        this->isReady = true;
        task();
    } else if (this->loop.seconds() > kReadyLimitSeconds) {
        this->loop.stop();
    } else {
        this->loop.after(kReadyCheck, [this, task]() { this->whenReady(task); });
    }
}

Vm *Deployment::route(const FlowKey &flow, const Vm *excluded) const
{
    // Rendezvous hashing: a VM that joins or leaves the rotation moves only its own flows.
    Vm *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &vm : this->vms) {
        const std::uint64_t vmScore = score(flow, vm->packets().address);
        if (vm.get() != excluded && vm->isInRotation()
            && (best == nullptr || vmScore > bestScore)) {
            best = vm.get();
            bestScore = vmScore;
        }
    }
    return best;
}

void Deployment::send(const FlowKey &flow, const Packet &packet)
{
    const Vm *vm = this->route(flow);
    if (vm != nullptr) {
        sendUdp(this->routerSocket, encode(packet), vm->packets());
    }
}

std::uint16_t Deployment::portThrough(const Vm &vm)
{
    for (;;) {
        const FlowKey flow{{loopback(77, 100), ++this->lastPort}, this->service()};
        const bool isFirst = std::ranges::all_of(this->vms, [&](const auto &other) {
            return score(flow, other->packets().address) <= score(flow, vm.packets().address);
        });
        if (isFirst) {
            return this->lastPort;
        }
    }
}
}
