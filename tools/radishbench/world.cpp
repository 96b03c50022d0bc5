#include "radishbench/world.h"

#include "flows/types/flowkey.h"
#include "net/batchsocket.h"
#include "radishbench/caller.h"
#include "radishbench/ifaultinjector.h"
#include "radishbench/upstreamhost.h"
#include "radishbench/vmhandle.h"

#include <csignal>
#include <filesystem>
#include <sstream>
#include <unistd.h>

namespace radishladder::radishbench {
namespace {
using std::chrono::milliseconds;

constexpr milliseconds kProbePeriod{500};
constexpr milliseconds kFlowPeriod{50};
constexpr milliseconds kProcessPeriod{100};
constexpr milliseconds kStartTime{1500};
constexpr int kLongFlowRequests = 12;

//! VMs may apply configurations so far apart.
constexpr std::chrono::seconds kConfigurationSpread{5};

//! One flow in so many asks for a route that may be there or not.
constexpr std::size_t kExtraRouteOneIn = 12;
}

World::World(const WorldPlan &plan, IFaultInjector *injector)
    : parts(plan), injector(injector), storeCalls(this->parts.store), storeServer(this->parts.loop)
{ }

World::~World()
{
    // Processes first: they must not see their stand-ins go.
    this->parts.vms.clear();
    if (this->injector != nullptr) {
        this->injector->end();
    }
    if (!this->directory.empty() && this->parts.results.broken() == 0) {
        std::filesystem::remove_all(this->directory);
    }
}

bool World::setUp()
{
    std::signal(SIGPIPE, SIG_IGN);
    this->directory = std::filesystem::temp_directory_path()
        / ("radishbench-" + std::to_string(::getpid()) + "-" + std::to_string(this->parts.plan.lane)
           + "-seed-" + std::to_string(this->parts.plan.seed));
    std::filesystem::create_directories(this->directory);
    this->parts.configure(1, 0);
    const bool isServing = this->storeServer.start(
        this->parts.addresses.store(),
        [this](const net::HttpRequest &request, const net::IHttpServer::Responder &respond) {
            this->storeCalls.handle(request, respond);
        });
    Reason reason;
    this->routerSocket =
        net::BatchSocket::open({this->parts.addresses.client().address, 17000}, reason);
    this->client = std::make_unique<Caller>(
        this->parts.loop, this->parts.random, this->parts.results, this->parts.addresses.client(),
        [this](const flows::FlowKey &flow, std::span<const std::uint8_t> datagram) {
            return this->deliver(flow, datagram);
        },
        [this](const flows::FlowKey &flow, std::uint32_t sequence,
               std::chrono::steady_clock::time_point openedAt) {
            return this->isHeld(flow, sequence, openedAt);
        });
    const bool isPrepared = this->injector == nullptr || this->injector->prepare(this->parts);
    if (!isServing || !this->routerSocket || !this->client->start() || !isPrepared) {
        return false;
    }
    for (int dataCentre = 0; dataCentre < this->parts.plan.dataCentres; ++dataCentre) {
        for (int i = 0; i < this->parts.plan.upstreamsPerDataCentre; ++i) {
            this->parts.addUpstream(dataCentre, 0);
        }
        for (int i = 0; i < this->parts.plan.vmsPerDataCentre; ++i) {
            const int index = static_cast<int>(this->parts.vms.size());
            this->parts.vms.push_back(std::make_unique<VmHandle>(
                this->parts.loop, this->parts.addresses, this->parts.plan.program, this->directory,
                dataCentreName(dataCentre), dataCentre, i,
                this->injector == nullptr ? this->parts.addresses.store()
                                          : this->parts.addresses.proxy(index)));
            this->parts.vms.back()->start();
        }
    }
    return true;
}

bool World::play()
{
    if (!this->setUp()) {
        return false;
    }
    this->parts.loop.every(kProbePeriod, [this]() { this->probeAll(); });
    this->parts.loop.every(kProcessPeriod, [this]() { this->watchProcesses(); });
    this->parts.loop.after(kStartTime, [this]() {
        this->parts.loop.every(kFlowPeriod, [this]() { this->openFlows(); });
        if (this->injector != nullptr) {
            this->injector->begin(this->parts);
        }
    });
    this->parts.loop.after(kStartTime + this->parts.plan.lasts,
                           [this]() { this->parts.loop.stop(); });
    this->parts.loop.run();
    return true;
}

void World::openFlows()
{
    const auto perPeriod = static_cast<double>(this->parts.plan.flowsPerSecond)
        * static_cast<double>(kFlowPeriod.count()) / 1000;
    auto count = static_cast<int>(perPeriod);
    const double rest = perPeriod - count;
    if (static_cast<double>(this->parts.random.next() % 1000) < rest * 1000) {
        ++count;
    }
    for (int i = 0; i < count; ++i) {
        const bool isLong = this->parts.random.next() % 4 == 0;
        this->client->open(this->parts.addresses.service(this->pickService()),
                           isLong ? kLongFlowRequests : 1);
    }
}

int World::pickService()
{
    if (this->injector != nullptr && this->parts.pick(kExtraRouteOneIn) == 0) {
        return kFirstExtraRoute + 2 * static_cast<int>(this->parts.pick(kMostExtraRoutes));
    }
    return static_cast<int>(this->parts.pick(2));
}

void World::probeAll()
{
    for (const auto &vm : this->parts.vms) {
        vm->probe();
    }
}

void World::watchProcesses()
{
    for (const auto &vm : this->parts.vms) {
        if (vm->isRunning() && vm->hasEnded()) {
            this->parts.results.count("VMs started again");
            vm->start();
        }
    }
}

VmHandle *World::route(const flows::FlowKey &flow) const
{
    // Rendezvous: a VM that comes or goes moves only its own flows.
    VmHandle *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &vm : this->parts.vms) {
        const flows::FlowKey salted{
            flow.client, {flow.service.address ^ vm->packets().address, flow.service.port}};
        const std::uint64_t score = flows::flowHash(salted);
        if (vm->isInRotation() && (best == nullptr || score > bestScore)) {
            best = vm.get();
            bestScore = score;
        }
    }
    return best;
}

bool World::deliver(const flows::FlowKey &flow, std::span<const std::uint8_t> datagram)
{
    const VmHandle *vm = this->route(flow);
    if (vm == nullptr) {
        return false;
    }
    this->routerSocket->send(datagram, vm->packets());
    this->routerSocket->flush();
    return true;
}

bool World::isHeld(const flows::FlowKey &flow, std::uint32_t sequence,
                   std::chrono::steady_clock::time_point openedAt) const
{
    if (this->parts.routes.wasRemovedAfter(flow.service.port, openedAt - kConfigurationSpread)) {
        // A configuration that drops a route ends its flows, even if the next one brings it back.
        return false;
    }
    for (const auto &upstream : this->parts.upstreams) {
        if (upstream->isUp() && upstream->heldFlow(flow) == sequence) {
            return true;
        }
    }
    return false;
}

std::string World::resources() const
{
    std::ostringstream out;
    for (const auto &vm : this->parts.vms) {
        out << "  " << vm->name() << ": " << vm->residentKb() << " KB resident, " << vm->threads()
            << " thread(s), " << vm->processorTime().count() << " ms of processor time\n";
    }
    return out.str();
}
}
