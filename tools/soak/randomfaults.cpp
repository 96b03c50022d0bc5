#include "soak/randomfaults.h"

#include "platform/standins/storeentries.h"
#include "radishbench/testbedparts.h"
#include "radishbench/upstreamhost.h"
#include "radishbench/vmhandle.h"
#include "soak/tcpproxy.h"

#include <csignal>

namespace radishladder::soak {
namespace {
using std::chrono::milliseconds;

constexpr milliseconds kEntryExpiry{3600};
constexpr milliseconds kColdTime{2000};
constexpr std::size_t kStoreFaultOneIn = 3;

//! Mean number of other faults between two restores of the store.
constexpr std::uint64_t kFaultsPerRestore = 15;

//! "restore" in ASCII.
constexpr std::uint64_t kRestoreSalt = 0x726573746f7265;

//! Kinds of faults, drawn with equal probability.
enum class Fault {
    KillVm,
    StopVm,
    PauseVm,
    RefusingStore,
    SilentStore,
    SlowStore,
    CompactHistory,
    FailLink,
    ReplaceUpstream,
    CrashUpstream,
    ChangeConfiguration,
    Evacuate,
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

bool RandomFaults::prepare(radishbench::TestbedParts &testbedParts)
{
    const int count = testbedParts.plan.dataCentres * testbedParts.plan.vmsPerDataCentre;
    for (int i = 0; i < count; ++i) {
        this->proxies.push_back(std::make_unique<TcpProxy>(
            testbedParts.loop, testbedParts.addresses.proxy(i), testbedParts.addresses.store()));
        if (!this->proxies.back()->start()) {
            return false;
        }
    }
    return true;
}

void RandomFaults::begin(radishbench::TestbedParts &testbedParts)
{
    this->testbed = &testbedParts;
    this->restoreRandom = std::make_unique<SeededRandom>(testbedParts.plan.seed ^ kRestoreSalt);
    this->scheduleFault();
    this->scheduleRestore();
}

void RandomFaults::end()
{
    this->proxies.clear();
}

void RandomFaults::scheduleFault()
{
    if (this->testbed->plan.meanFaultInterval.count() == 0) {
        return;
    }
    const auto maxDelay =
        static_cast<std::uint64_t>(2 * this->testbed->plan.meanFaultInterval.count());
    this->testbed->loop.after(milliseconds(this->testbed->random.next() % maxDelay), [this]() {
        this->injectFault();
        this->scheduleFault();
    });
}

void RandomFaults::injectFault()
{
    radishbench::VmHandle &vm =
        *this->testbed->vms[this->testbed->randomIndex(this->testbed->vms.size())];
    switch (
        static_cast<Fault>(this->testbed->randomIndex(static_cast<std::size_t>(Fault::Count)))) {
    case Fault::KillVm:
        this->testbed->results.count("fault: kill");
        vm.signal(SIGKILL);
        break;
    case Fault::StopVm:
        this->testbed->results.count("fault: planned stop");
        vm.signal(SIGTERM);
        break;
    case Fault::PauseVm:
        this->pauseVm(vm);
        break;
    case Fault::RefusingStore:
        this->failStore(standins::StoreMode::Refusing);
        break;
    case Fault::SilentStore:
        this->failStore(standins::StoreMode::Silent);
        break;
    case Fault::SlowStore:
        this->failStore(standins::StoreMode::Slow);
        break;
    case Fault::CompactHistory:
        this->testbed->results.count("fault: history dropped");
        this->testbed->store.compact();
        break;
    case Fault::FailLink:
        this->failLink(this->testbed->randomIndex(this->proxies.size()));
        break;
    case Fault::ReplaceUpstream:
        this->replaceUpstream();
        break;
    case Fault::CrashUpstream:
        this->crashUpstream();
        break;
    case Fault::ChangeConfiguration:
        this->changeConfiguration();
        break;
    case Fault::Evacuate:
    case Fault::Count:
        this->evacuate();
        break;
    }
}

void RandomFaults::disturb(std::uint32_t vmAddress, milliseconds duration,
                           const std::function<void()> &begin, std::function<void()> end)
{
    this->testbed->disturbances.begin(vmAddress);
    begin();
    this->testbed->loop.after(duration, [this, vmAddress, end = std::move(end)]() {
        end();
        this->testbed->disturbances.end(vmAddress);
    });
}

void RandomFaults::pauseVm(radishbench::VmHandle &vm)
{
    this->testbed->results.count("fault: pause");
    this->disturb(
        vm.packetEndpoint().address, milliseconds(500 + this->testbed->randomIndex(3000)),
        [&vm]() { vm.signal(SIGSTOP); }, [&vm]() { vm.signal(SIGCONT); });
}

void RandomFaults::failStore(standins::StoreMode mode)
{
    // Store outages are rarer than other faults, because most bounds do not apply during an outage.
    if (this->testbed->randomIndex(kStoreFaultOneIn) != 0) {
        return;
    }
    this->testbed->results.count(nameOf(mode));
    this->disturb(
        radishbench::DisturbanceTracker::kAllVms,
        milliseconds(500 + this->testbed->randomIndex(5000)),
        [this, mode]() { this->testbed->store.setMode(mode); },
        [this]() { this->testbed->store.setMode(standins::StoreMode::Serving); });
}

void RandomFaults::scheduleRestore()
{
    const auto meanInterval = static_cast<std::uint64_t>(
        this->testbed->plan.meanFaultInterval.count() * kFaultsPerRestore);
    if (meanInterval == 0) {
        return;
    }
    const milliseconds delay(meanInterval / 2 + this->restoreRandom->next() % meanInterval);
    this->testbed->loop.after(delay, [this]() {
        this->restoreStore();
        this->scheduleRestore();
    });
}

void RandomFaults::restoreStore()
{
    const auto copy = this->testbed->store.copy();
    const milliseconds lost(1000 + this->restoreRandom->next() % 4000);
    const milliseconds silence(300 + this->restoreRandom->next() % 2000);
    const milliseconds writeDelay(this->restoreRandom->next() % 2000);
    this->testbed->loop.after(lost, [this, copy, silence, writeDelay]() {
        this->testbed->results.count("fault: store restored");
        this->disturb(
            radishbench::DisturbanceTracker::kAllVms, silence + writeDelay,
            [this, copy, silence]() {
                this->testbed->store.setMode(standins::StoreMode::Silent);
                this->testbed->loop.after(silence, [this, copy]() {
                    this->testbed->store.restore(*copy);
                    this->testbed->store.setMode(standins::StoreMode::Serving);
                });
            },
            [this]() { this->writeAgain(); });
    });
}

void RandomFaults::writeAgain()
{
    for (const auto &upstream : this->testbed->upstreams) {
        upstream->writeAgain();
    }
    this->testbed->publishConfiguration(this->configurationVersion, this->extraRoutes);
    const std::string key = platform::evacuationKey(radishbench::dataCentreName(0));
    if (this->isEvacuated) {
        this->testbed->store.put(key, "{}");
    } else {
        this->testbed->store.remove(key);
    }
}

void RandomFaults::failLink(std::size_t vm)
{
    TcpProxy &proxy = *this->proxies[vm];
    const ProxyFault faults[] = {ProxyFault::Delay, ProxyFault::Reset, ProxyFault::OneWay,
                                 ProxyFault::Blackhole};
    const ProxyFault fault = faults[this->testbed->randomIndex(4)];
    this->testbed->results.count("fault: link to the store");
    this->disturb(
        this->testbed->vms[vm]->packetEndpoint().address,
        milliseconds(500 + this->testbed->randomIndex(5000)),
        [&proxy, fault]() { proxy.setFault(fault); },
        [&proxy]() { proxy.setFault(ProxyFault::None); });
}

radishbench::UpstreamHost *RandomFaults::pickUpstream()
{
    std::vector<radishbench::UpstreamHost *> ready;
    for (const auto &upstream : this->testbed->upstreams) {
        if (upstream->isUp() && !upstream->isDraining()) {
            ready.push_back(upstream.get());
        }
    }
    // Keeps at least half of the planned number of upstreams running, so that a service rarely has
    // none.
    const auto minimum = static_cast<std::size_t>(this->testbed->plan.dataCentres
                                                  * this->testbed->plan.upstreamsPerDataCentre / 2);
    return ready.size() <= minimum ? nullptr : ready[this->testbed->randomIndex(ready.size())];
}

void RandomFaults::replaceUpstream()
{
    radishbench::UpstreamHost *old = this->pickUpstream();
    if (old == nullptr || this->testbed->upstreams.size() > 200) {
        return;
    }
    this->testbed->results.count("fault: upstream replaced");
    this->testbed->addUpstream(static_cast<int>(this->testbed->randomIndex(
                                   static_cast<std::size_t>(this->testbed->plan.dataCentres))),
                               static_cast<int>(kColdTime.count()));
    old->drain();
    this->testbed->loop.after(milliseconds(5000 + this->testbed->randomIndex(3000)), [old]() {
        if (old->isUp()) {
            old->leave();
        }
    });
}

void RandomFaults::crashUpstream()
{
    radishbench::UpstreamHost *upstream = this->pickUpstream();
    if (upstream != nullptr) {
        this->testbed->results.count("fault: upstream crashed");
        upstream->crash(kEntryExpiry);
    }
}

void RandomFaults::changeConfiguration()
{
    this->testbed->results.count("fault: configuration");
    this->configurationVersion += 1 + static_cast<int>(this->testbed->randomIndex(3));
    this->extraRoutes = static_cast<int>(this->testbed->randomIndex(radishbench::kMaxExtraRoutes));
    this->testbed->publishConfiguration(this->configurationVersion, this->extraRoutes);
}

void RandomFaults::evacuate()
{
    if (this->isEvacuated) {
        return;
    }
    this->testbed->results.count("fault: data centre out");
    this->isEvacuated = true;
    const std::string dataCentre = radishbench::dataCentreName(0);
    const auto setEvacuatedSince =
        [this, dataCentre](std::optional<std::chrono::steady_clock::time_point> at) {
            for (const auto &upstream : this->testbed->upstreams) {
                if (upstream->description().dataCentre == dataCentre) {
                    upstream->setEvacuatedSince(at);
                }
            }
        };
    this->testbed->store.put(platform::evacuationKey(dataCentre), "{}");
    setEvacuatedSince(std::chrono::steady_clock::now());
    this->testbed->loop.after(milliseconds(6000 + this->testbed->randomIndex(4000)),
                              [this, dataCentre, setEvacuatedSince]() {
                                  setEvacuatedSince(std::nullopt);
                                  this->testbed->store.remove(platform::evacuationKey(dataCentre));
                                  this->isEvacuated = false;
                              });
}
}
