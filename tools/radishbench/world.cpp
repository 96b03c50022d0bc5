#include "radishbench/world.h"

#include "flows/types/flowkey.h"
#include "net/batchsocket.h"
#include "platform/standins/documents.h"
#include "radishbench/caller.h"
#include "radishbench/tcpproxy.h"
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
constexpr milliseconds kLapse{3600};
constexpr milliseconds kColdTime{2000};
constexpr int kLongFlowRequests = 12;
constexpr std::size_t kStoreTroubleOneIn = 3;

//! Kinds of faults, drawn with equal chances.
enum class Fault {
    KillVm,
    StopVm,
    PauseVm,
    RefuseCalls,
    SilentStore,
    ForgottenHistory,
    BrokenLink,
    ReplacedUpstream,
    CrashedUpstream,
    Configuration,
    Evacuation,
    Count,
};

std::string dataCentreName(int number)
{
    return "dc" + std::to_string(number);
}
}

World::World(const WorldPlan &plan)
    : plan(plan), addresses{plan.lane}, random(plan.seed), store(this->loop),
      storeCalls(this->store), storeServer(this->loop)
{ }

World::~World()
{
    // Processes first: they must not see their stand-ins go.
    this->vms.clear();
    if (!this->directory.empty() && this->results.broken() == 0) {
        std::filesystem::remove_all(this->directory);
    }
}

bool World::setUp()
{
    std::signal(SIGPIPE, SIG_IGN);
    this->directory = std::filesystem::temp_directory_path()
        / ("radishbench-" + std::to_string(::getpid()) + "-" + std::to_string(this->plan.lane));
    std::filesystem::create_directories(this->directory);
    this->store.put(
        platform::configurationKey(),
        platform::configurationValue(
            1, {{this->addresses.service(0), "portal"}, {this->addresses.service(1), "intake"}}));
    const bool isServing = this->storeServer.start(
        this->addresses.store(),
        [this](const net::HttpRequest &request, const net::IHttpServer::Responder &respond) {
            this->storeCalls.handle(request, respond);
        });
    Reason reason;
    this->routerSocket = net::BatchSocket::open({this->addresses.caller().address, 17000}, reason);
    this->caller = std::make_unique<Caller>(
        this->loop, this->random, this->results, this->addresses.caller(),
        [this](const flows::FlowKey &flow, std::span<const std::uint8_t> datagram) {
            return this->deliver(flow, datagram);
        },
        [this](const flows::FlowKey &flow, std::uint32_t sequence) {
            return this->isHeld(flow, sequence);
        });
    if (!isServing || !this->routerSocket || !this->caller->start()) {
        return false;
    }
    for (int dataCentre = 0; dataCentre < this->plan.dataCentres; ++dataCentre) {
        for (int i = 0; i < this->plan.upstreamsPerDataCentre; ++i) {
            this->addUpstream(dataCentre, 0);
        }
        for (int i = 0; i < this->plan.vmsPerDataCentre; ++i) {
            const int index = static_cast<int>(this->vms.size());
            this->proxies.push_back(std::make_unique<TcpProxy>(
                this->loop, this->addresses.proxy(index), this->addresses.store()));
            if (!this->proxies.back()->start()) {
                return false;
            }
            this->vms.push_back(std::make_unique<VmHandle>(
                this->loop, this->addresses, this->plan.program, this->directory,
                dataCentreName(dataCentre), dataCentre, i, index));
            this->vms.back()->start();
        }
    }
    return true;
}

void World::addUpstream(int dataCentre, int coldMs)
{
    const int number = static_cast<int>(this->upstreams.size());
    platform::EntryText entry{.id = 0x1000U + static_cast<std::uint64_t>(number),
                              .service = number % 4 == 3 ? "intake" : "portal",
                              .address = this->addresses.upstream(number),
                              .dataCentre = dataCentreName(dataCentre),
                              .coldMs = coldMs};
    this->upstreams.push_back(std::make_unique<UpstreamHost>(
        this->loop, this->store, this->results, entry, this->addresses.caller(), this->calm));
    if (!this->upstreams.back()->start()) {
        this->results.count("upstreams that did not start");
    }
}

bool World::play()
{
    if (!this->setUp()) {
        return false;
    }
    this->loop.every(kProbePeriod, [this]() { this->probeAll(); });
    this->loop.every(kProcessPeriod, [this]() { this->watchProcesses(); });
    this->loop.after(kStartTime, [this]() {
        this->loop.every(kFlowPeriod, [this]() { this->openFlows(); });
        this->scheduleFault();
    });
    this->loop.after(kStartTime + this->plan.lasts, [this]() { this->loop.stop(); });
    this->loop.run();
    return true;
}

void World::openFlows()
{
    const auto perPeriod = static_cast<double>(this->plan.flowsPerSecond)
        * static_cast<double>(kFlowPeriod.count()) / 1000;
    auto count = static_cast<int>(perPeriod);
    const double rest = perPeriod - count;
    if (static_cast<double>(this->random.next() % 1000) < rest * 1000) {
        ++count;
    }
    for (int i = 0; i < count; ++i) {
        const bool isLong = this->random.next() % 4 == 0;
        this->caller->open(this->addresses.service(static_cast<int>(this->random.next() % 2)),
                           isLong ? kLongFlowRequests : 1);
    }
}

void World::probeAll()
{
    for (const auto &vm : this->vms) {
        vm->probe();
    }
}

void World::watchProcesses()
{
    for (const auto &vm : this->vms) {
        if (vm->isRunning() && vm->hasEnded()) {
            this->results.count("VMs started again");
            vm->start();
        }
    }
}

VmHandle *World::route(const flows::FlowKey &flow) const
{
    // Rendezvous: a VM that comes or goes moves only its own flows.
    VmHandle *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto &vm : this->vms) {
        const flows::FlowKey salted{
            flow.caller, {flow.service.address ^ vm->packets().address, flow.service.port}};
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

bool World::isHeld(const flows::FlowKey &flow, std::uint32_t sequence) const
{
    for (const auto &upstream : this->upstreams) {
        if (upstream->isUp() && upstream->heldFlow(flow) == sequence) {
            return true;
        }
    }
    return false;
}

void World::scheduleFault()
{
    if (this->plan.faultEvery.count() == 0) {
        return;
    }
    const auto longest = static_cast<std::uint64_t>(2 * this->plan.faultEvery.count());
    this->loop.after(milliseconds(this->random.next() % longest), [this]() {
        this->injectFault();
        this->scheduleFault();
    });
}

void World::injectFault()
{
    VmHandle &vm = *this->vms[this->pick(this->vms.size())];
    switch (static_cast<Fault>(this->pick(static_cast<std::size_t>(Fault::Count)))) {
    case Fault::KillVm:
        this->results.count("fault: kill");
        vm.signal(SIGKILL);
        break;
    case Fault::StopVm:
        this->results.count("fault: planned stop");
        vm.signal(SIGTERM);
        break;
    case Fault::PauseVm:
        this->pauseVm(vm);
        break;
    case Fault::RefuseCalls:
        this->troubleStore(standins::MemoryStore::Mode::Refusing);
        break;
    case Fault::SilentStore:
        this->troubleStore(standins::MemoryStore::Mode::Silent);
        break;
    case Fault::ForgottenHistory:
        this->results.count("fault: history dropped");
        this->store.compact();
        break;
    case Fault::BrokenLink:
        this->troubleProxy(this->pick(this->proxies.size()));
        break;
    case Fault::ReplacedUpstream:
        this->replaceUpstream();
        break;
    case Fault::CrashedUpstream:
        this->crashUpstream();
        break;
    case Fault::Configuration:
        this->changeConfiguration();
        break;
    case Fault::Evacuation:
    case Fault::Count:
        this->evacuate();
        break;
    }
}

void World::disturb(std::uint32_t vmAddress, milliseconds lasts, const std::function<void()> &begin,
                    std::function<void()> end)
{
    this->calm.begin(vmAddress);
    begin();
    this->loop.after(lasts, [this, vmAddress, end = std::move(end)]() {
        end();
        this->calm.end(vmAddress);
    });
}

void World::pauseVm(VmHandle &vm)
{
    this->results.count("fault: pause");
    this->disturb(
        vm.packets().address, milliseconds(500 + this->pick(3000)), [&vm]() { vm.signal(SIGSTOP); },
        [&vm]() { vm.signal(SIGCONT); });
}

void World::troubleStore(standins::MemoryStore::Mode mode)
{
    // Rarer than other faults: while the store is away, most bounds do not hold.
    if (this->pick(kStoreTroubleOneIn) != 0) {
        return;
    }
    this->results.count(mode == standins::MemoryStore::Mode::Silent ? "fault: store silent"
                                                                    : "fault: store refuses");
    this->disturb(
        Calm::kEverybody, milliseconds(500 + this->pick(5000)),
        [this, mode]() { this->store.setMode(mode); },
        [this]() { this->store.setMode(standins::MemoryStore::Mode::Serving); });
}

void World::troubleProxy(std::size_t vm)
{
    TcpProxy &proxy = *this->proxies[vm];
    const ProxyFault faults[] = {ProxyFault::Delay, ProxyFault::Reset, ProxyFault::OneWay,
                                 ProxyFault::Silence};
    const ProxyFault fault = faults[this->pick(4)];
    this->results.count("fault: link to the store");
    this->disturb(
        this->vms[vm]->packets().address, milliseconds(500 + this->pick(5000)),
        [&proxy, fault]() { proxy.setFault(fault); },
        [&proxy]() { proxy.setFault(ProxyFault::None); });
}

UpstreamHost *World::pickUpstream()
{
    std::vector<UpstreamHost *> ready;
    for (const auto &upstream : this->upstreams) {
        if (upstream->isUp() && !upstream->isDraining()) {
            ready.push_back(upstream.get());
        }
    }
    // Half of them stay, so that every service keeps some.
    const auto least =
        static_cast<std::size_t>(this->plan.dataCentres * this->plan.upstreamsPerDataCentre / 2);
    return ready.size() <= least ? nullptr : ready[this->pick(ready.size())];
}

void World::replaceUpstream()
{
    UpstreamHost *old = this->pickUpstream();
    if (old == nullptr || this->upstreams.size() > 200) {
        return;
    }
    this->results.count("fault: upstream replaced");
    this->addUpstream(
        static_cast<int>(this->pick(static_cast<std::size_t>(this->plan.dataCentres))),
        static_cast<int>(kColdTime.count()));
    old->drain();
    this->loop.after(milliseconds(5000 + this->pick(3000)), [old]() {
        if (old->isUp()) {
            old->leave();
        }
    });
}

void World::crashUpstream()
{
    UpstreamHost *victim = this->pickUpstream();
    if (victim != nullptr) {
        this->results.count("fault: upstream crashed");
        victim->crash(kLapse);
    }
}

void World::changeConfiguration()
{
    this->results.count("fault: configuration");
    this->configurationVersion += 1 + static_cast<int>(this->pick(3));
    std::vector<platform::RouteText> routes{{this->addresses.service(0), "portal"},
                                            {this->addresses.service(1), "intake"}};
    for (std::size_t i = 0; i < this->pick(20); ++i) {
        routes.push_back({this->addresses.service(static_cast<int>(10 + 2 * i)), "portal"});
    }
    this->store.put(platform::configurationKey(),
                    platform::configurationValue(this->configurationVersion, routes));
}

void World::evacuate()
{
    if (this->isOut) {
        return;
    }
    this->results.count("fault: data centre out");
    this->isOut = true;
    const std::string dataCentre = dataCentreName(0);
    const auto mark = [this, dataCentre](std::optional<std::chrono::steady_clock::time_point> at) {
        for (const auto &upstream : this->upstreams) {
            if (upstream->description().dataCentre == dataCentre) {
                upstream->setOut(at);
            }
        }
    };
    this->store.put(platform::evacuationKey(dataCentre), "{}");
    mark(std::chrono::steady_clock::now());
    this->loop.after(milliseconds(6000 + this->pick(4000)), [this, dataCentre, mark]() {
        mark(std::nullopt);
        this->store.remove(platform::evacuationKey(dataCentre));
        this->isOut = false;
    });
}

std::string World::resources() const
{
    std::ostringstream out;
    for (const auto &vm : this->vms) {
        out << "  " << vm->name() << ": " << vm->residentKb() << " KB resident, " << vm->threads()
            << " thread(s), " << vm->processorTime().count() << " ms of processor time\n";
    }
    return out.str();
}
}
