#include "soak/randomfaults.h"

#include "platform/standins/storeentries.h"
#include "radishbench/upstreamhost.h"
#include "radishbench/vmhandle.h"
#include "radishbench/worldparts.h"
#include "soak/tcpproxy.h"

#include <csignal>

namespace radishladder::soak {
namespace {
using std::chrono::milliseconds;

constexpr milliseconds kLapse{3600};
constexpr milliseconds kColdTime{2000};
constexpr std::size_t kStoreTroubleOneIn = 3;

//! Kinds of faults, drawn with equal chances.
enum class Fault {
    KillVm,
    StopVm,
    PauseVm,
    RefuseCalls,
    SilentStore,
    SlowStore,
    ForgottenHistory,
    BrokenLink,
    ReplacedUpstream,
    CrashedUpstream,
    Configuration,
    Evacuation,
    Count,
};

const char *nameOf(standins::StoreMode mode)
{
    switch (mode) {
    case standins::StoreMode::Silent:
        return "fault: store silent";
    case standins::StoreMode::Slow:
        return "fault: store slow";
    default:
        return "fault: store refuses";
    }
}
}

RandomFaults::RandomFaults() = default;

RandomFaults::~RandomFaults() = default;

bool RandomFaults::prepare(radishbench::WorldParts &prepared)
{
    const int count = prepared.plan.dataCentres * prepared.plan.vmsPerDataCentre;
    for (int i = 0; i < count; ++i) {
        this->proxies.push_back(std::make_unique<TcpProxy>(
            prepared.loop, prepared.addresses.proxy(i), prepared.addresses.store()));
        if (!this->proxies.back()->start()) {
            return false;
        }
    }
    return true;
}

void RandomFaults::begin(radishbench::WorldParts &begun)
{
    this->world = &begun;
    this->scheduleFault();
}

void RandomFaults::end()
{
    this->proxies.clear();
}

void RandomFaults::scheduleFault()
{
    if (this->world->plan.faultEvery.count() == 0) {
        return;
    }
    const auto longest = static_cast<std::uint64_t>(2 * this->world->plan.faultEvery.count());
    this->world->loop.after(milliseconds(this->world->random.next() % longest), [this]() {
        this->injectFault();
        this->scheduleFault();
    });
}

void RandomFaults::injectFault()
{
    radishbench::VmHandle &vm = *this->world->vms[this->world->pick(this->world->vms.size())];
    switch (static_cast<Fault>(this->world->pick(static_cast<std::size_t>(Fault::Count)))) {
    case Fault::KillVm:
        this->world->results.count("fault: kill");
        vm.signal(SIGKILL);
        break;
    case Fault::StopVm:
        this->world->results.count("fault: planned stop");
        vm.signal(SIGTERM);
        break;
    case Fault::PauseVm:
        this->pauseVm(vm);
        break;
    case Fault::RefuseCalls:
        this->troubleStore(standins::StoreMode::Refusing);
        break;
    case Fault::SilentStore:
        this->troubleStore(standins::StoreMode::Silent);
        break;
    case Fault::SlowStore:
        this->troubleStore(standins::StoreMode::Slow);
        break;
    case Fault::ForgottenHistory:
        this->world->results.count("fault: history dropped");
        this->world->store.compact();
        break;
    case Fault::BrokenLink:
        this->troubleProxy(this->world->pick(this->proxies.size()));
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

void RandomFaults::disturb(std::uint32_t vmAddress, milliseconds lasts,
                           const std::function<void()> &begin, std::function<void()> end)
{
    this->world->calm.begin(vmAddress);
    begin();
    this->world->loop.after(lasts, [this, vmAddress, end = std::move(end)]() {
        end();
        this->world->calm.end(vmAddress);
    });
}

void RandomFaults::pauseVm(radishbench::VmHandle &vm)
{
    this->world->results.count("fault: pause");
    this->disturb(
        vm.packets().address, milliseconds(500 + this->world->pick(3000)),
        [&vm]() { vm.signal(SIGSTOP); }, [&vm]() { vm.signal(SIGCONT); });
}

void RandomFaults::troubleStore(standins::StoreMode mode)
{
    // Rarer than other faults: while the store is away, most bounds do not hold.
    if (this->world->pick(kStoreTroubleOneIn) != 0) {
        return;
    }
    this->world->results.count(nameOf(mode));
    this->disturb(
        radishbench::Calm::kEverybody, milliseconds(500 + this->world->pick(5000)),
        [this, mode]() { this->world->store.setMode(mode); },
        [this]() { this->world->store.setMode(standins::StoreMode::Serving); });
}

void RandomFaults::troubleProxy(std::size_t vm)
{
    TcpProxy &proxy = *this->proxies[vm];
    const ProxyFault faults[] = {ProxyFault::Delay, ProxyFault::Reset, ProxyFault::OneWay,
                                 ProxyFault::Silence};
    const ProxyFault fault = faults[this->world->pick(4)];
    this->world->results.count("fault: link to the store");
    this->disturb(
        this->world->vms[vm]->packets().address, milliseconds(500 + this->world->pick(5000)),
        [&proxy, fault]() { proxy.setFault(fault); },
        [&proxy]() { proxy.setFault(ProxyFault::None); });
}

radishbench::UpstreamHost *RandomFaults::pickUpstream()
{
    std::vector<radishbench::UpstreamHost *> ready;
    for (const auto &upstream : this->world->upstreams) {
        if (upstream->isUp() && !upstream->isDraining()) {
            ready.push_back(upstream.get());
        }
    }
    // Half of them stay, so that every service keeps some.
    const auto least = static_cast<std::size_t>(this->world->plan.dataCentres
                                                * this->world->plan.upstreamsPerDataCentre / 2);
    return ready.size() <= least ? nullptr : ready[this->world->pick(ready.size())];
}

void RandomFaults::replaceUpstream()
{
    radishbench::UpstreamHost *old = this->pickUpstream();
    if (old == nullptr || this->world->upstreams.size() > 200) {
        return;
    }
    this->world->results.count("fault: upstream replaced");
    this->world->addUpstream(static_cast<int>(this->world->pick(
                                 static_cast<std::size_t>(this->world->plan.dataCentres))),
                             static_cast<int>(kColdTime.count()));
    old->drain();
    this->world->loop.after(milliseconds(5000 + this->world->pick(3000)), [old]() {
        if (old->isUp()) {
            old->leave();
        }
    });
}

void RandomFaults::crashUpstream()
{
    radishbench::UpstreamHost *victim = this->pickUpstream();
    if (victim != nullptr) {
        this->world->results.count("fault: upstream crashed");
        victim->crash(kLapse);
    }
}

void RandomFaults::changeConfiguration()
{
    this->world->results.count("fault: configuration");
    this->configurationVersion += 1 + static_cast<int>(this->world->pick(3));
    this->world->configure(this->configurationVersion,
                           static_cast<int>(this->world->pick(radishbench::kMostExtraRoutes)));
}

void RandomFaults::evacuate()
{
    if (this->isOut) {
        return;
    }
    this->world->results.count("fault: data centre out");
    this->isOut = true;
    const std::string dataCentre = radishbench::dataCentreName(0);
    const auto mark = [this, dataCentre](std::optional<std::chrono::steady_clock::time_point> at) {
        for (const auto &upstream : this->world->upstreams) {
            if (upstream->description().dataCentre == dataCentre) {
                upstream->setOut(at);
            }
        }
    };
    this->world->store.put(platform::evacuationKey(dataCentre), "{}");
    mark(std::chrono::steady_clock::now());
    this->world->loop.after(milliseconds(6000 + this->world->pick(4000)),
                            [this, dataCentre, mark]() {
                                mark(std::nullopt);
                                this->world->store.remove(platform::evacuationKey(dataCentre));
                                this->isOut = false;
                            });
}
}
