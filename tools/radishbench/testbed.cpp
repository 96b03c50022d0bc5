#include "radishbench/testbed.h"

#include "flows/types/flowkey.h"
#include "net/batchsocket.h"
#include "radishbench/clienthost.h"
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
constexpr milliseconds kStartupTime{1500};
constexpr int kLongFlowRequests = 12;

//! Longest time between the first and the last VM that apply a configuration.
constexpr std::chrono::seconds kConfigurationSpread{5};

//! With faults, one flow in this many goes to an address that only some configurations route.
constexpr std::size_t kExtraRouteOneIn = 12;
}

Testbed::Testbed(const TestbedPlan &plan, IFaultInjector *injector)
    : parts(plan), injector(injector), storeHandler(this->parts.store),
      storeServer(this->parts.loop)
{ }

Testbed::~Testbed()
{
    // Ends the processes first, so that they do not observe the stand-ins shutting down.
    this->parts.vms.clear();
    if (this->injector != nullptr) {
        this->injector->end();
    }
    if (!this->directory.empty() && this->parts.results.violations() == 0) {
        std::filesystem::remove_all(this->directory);
    }
}

bool Testbed::setUp()
{
    std::signal(SIGPIPE, SIG_IGN);
    this->directory = std::filesystem::temp_directory_path()
        / ("radishbench-" + std::to_string(::getpid()) + "-" + std::to_string(this->parts.plan.lane)
           + "-seed-" + std::to_string(this->parts.plan.seed));
    std::filesystem::create_directories(this->directory);
    this->parts.publishConfiguration(1, 0);
    const bool isServing = this->storeServer.start(
        this->parts.addresses.store(),
        [this](const net::HttpRequest &request, const net::IHttpServer::Responder &respond) {
            this->storeHandler.handle(request, respond);
        });
    Reason reason;
    this->routerSocket =
        net::BatchSocket::open({this->parts.addresses.client().address, 17000}, reason);
    this->clientHost = std::make_unique<ClientHost>(
        this->parts.loop, this->parts.random, this->parts.results, this->parts.addresses.client(),
        [this](const flows::FlowKey &flow, std::span<const std::uint8_t> datagram) {
            return this->deliver(flow, datagram);
        },
        [this](const flows::FlowKey &flow, std::uint32_t sequence,
               std::chrono::steady_clock::time_point openedAt) {
            return this->isFlowHeld(flow, sequence, openedAt);
        });
    const bool isPrepared = this->injector == nullptr || this->injector->prepare(this->parts);
    if (!isServing || !this->routerSocket || !this->clientHost->start() || !isPrepared) {
        return false;
    }
    for (int dataCentre = 0; dataCentre < this->parts.plan.dataCentres; ++dataCentre) {
        for (int i = 0; i < this->parts.plan.upstreamsPerDataCentre; ++i) {
            this->parts.addUpstream(dataCentre, 0);
        }
        for (int i = 0; i < this->parts.plan.vmsPerDataCentre; ++i) {
            const int index = static_cast<int>(this->parts.vms.size());
            this->parts.vms.push_back(std::make_unique<VmHandle>(
                this->parts.loop, this->parts.addresses, this->parts.plan.daemonPath,
                this->directory, dataCentreName(dataCentre), dataCentre, i,
                this->injector == nullptr ? this->parts.addresses.store()
                                          : this->parts.addresses.proxy(index)));
            this->parts.vms.back()->start();
        }
    }
    return true;
}

bool Testbed::run()
{
    if (!this->setUp()) {
        return false;
    }
    this->parts.loop.every(kProbePeriod, [this]() { this->probeVms(); });
    this->parts.loop.every(kProcessPeriod, [this]() { this->restartEndedProcesses(); });
    this->parts.loop.after(kStartupTime, [this]() {
        this->parts.loop.every(kFlowPeriod, [this]() { this->openFlows(); });
        if (this->injector != nullptr) {
            this->injector->begin(this->parts);
        }
    });
    this->parts.loop.after(kStartupTime + this->parts.plan.duration,
                           [this]() { this->parts.loop.stop(); });
    this->parts.loop.run();
    return true;
}

void Testbed::openFlows()
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
        this->clientHost->open(this->parts.addresses.service(this->pickService()),
                               isLong ? kLongFlowRequests : 1);
    }
}

int Testbed::pickService()
{
    if (this->injector != nullptr && this->parts.randomIndex(kExtraRouteOneIn) == 0) {
        return kFirstExtraRoute + 2 * static_cast<int>(this->parts.randomIndex(kMaxExtraRoutes));
    }
    return static_cast<int>(this->parts.randomIndex(2));
}

void Testbed::probeVms()
{
    for (const auto &vm : this->parts.vms) {
        vm->probe();
    }
}

void Testbed::restartEndedProcesses()
{
    for (const auto &vm : this->parts.vms) {
        if (vm->isRunning() && vm->hasEnded()) {
            this->parts.results.count("VMs started again");
            vm->start();
        }
    }
}

VmHandle *Testbed::selectVm(const flows::FlowKey &flow) const
{
    // Rendezvous hashing: a VM that joins or leaves the rotation moves only its own flows.
    VmHandle *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &vm : this->parts.vms) {
        const flows::FlowKey salted{
            flow.client, {flow.service.address ^ vm->packetEndpoint().address, flow.service.port}};
        const std::uint64_t score = flows::flowHash(salted);
        if (vm->isInRotation() && (best == nullptr || score > bestScore)) {
            best = vm.get();
            bestScore = score;
        }
    }
    return best;
}

bool Testbed::deliver(const flows::FlowKey &flow, std::span<const std::uint8_t> datagram)
{
    const VmHandle *vm = this->selectVm(flow);
    if (vm == nullptr) {
        return false;
    }
    this->routerSocket->send(datagram, vm->packetEndpoint());
    this->routerSocket->flush();
    return true;
}

bool Testbed::isFlowHeld(const flows::FlowKey &flow, std::uint32_t sequence,
                         std::chrono::steady_clock::time_point openedAt) const
{
    if (this->parts.routes.wasRemovedAfter(flow.service.port, openedAt - kConfigurationSpread)) {
        // A configuration that removes a route ends its flows, even if the next configuration
        // restores the route.
        return false;
    }
    for (const auto &upstream : this->parts.upstreams) {
        if (upstream->isUp() && upstream->flowSequence(flow) == sequence) {
            return true;
        }
    }
    return false;
}

std::string Testbed::resources() const
{
    std::ostringstream out;
    for (const auto &vm : this->parts.vms) {
        out << "  " << vm->name() << ": " << vm->residentKb() << " KB resident, " << vm->threads()
            << " thread(s), " << vm->processorTime().count() << " ms of processor time\n";
    }
    return out.str();
}
}
