#include "cases.h"
#include "flowcase.h"
#include "stockrelease.h"

#include <algorithm>

namespace review {
namespace {
//! The store is silent for a moment in which one relay of the data centre begins to watch it. Then
//! a host is added, and a VM is restarted as planned.
class RelayCase
{
public:
    explicit RelayCase(Deployment &deployment) : deployment(deployment) { }

    Verdict run()
    {
        this->deployment.slots = kSlots;
        if (!this->deployment.start(kVms, kStartDelay)) {
            return Verdict::NotRun;
        }
        FlowCase judge(this->deployment);
        this->flows = &judge;
        for (int i = 1; i <= kHosts; ++i) {
            if (this->deployment.addHost(kFirstId + i * 7919U, kWork) == nullptr) {
                return Verdict::NotRun;
            }
        }
        StockRelease release(this->deployment);
        if (!release.start()) {
            return Verdict::NotRun;
        }
        this->deployment.whenReady([this]() {
            this->deployment.loop.after(kCalm, [this]() { this->awaitRelayWatch(); });
            this->deployment.loop.after(kLimit, [this]() {
                if (!this->hasBegun) {
                    this->deployment.loop.stop();
                }
            });
        });
        this->deployment.loop.run();
        if (!this->hasBegun) {
            this->deployment.record.write("the case could not begin");
            return Verdict::NotRun;
        }
        return verdict(this->deployment, judge.count());
    }

private:
    static constexpr int kVms = 6;
    static constexpr int kSlots = 16;
    static constexpr int kHosts = 4;
    static constexpr std::uint64_t kFirstId = 0x7f3a91c200;
    static constexpr Milliseconds kWork{20};
    static constexpr Milliseconds kStartDelay{55};
    static constexpr Milliseconds kCalm{6000};
    static constexpr Milliseconds kLimit{30000};

    //! Time between two calls of a relay that gets changes all the time.
    static constexpr Milliseconds kWatchInterval{1205};
    static constexpr Milliseconds kLead{60};
    static constexpr Milliseconds kSilence{120};
    static constexpr Milliseconds kMinDistance{130};
    static constexpr Milliseconds kRenewInterval{2005};
    static constexpr Milliseconds kContact{4000};

    // Times after the silence.
    static constexpr Milliseconds kNewHost{200};
    static constexpr Milliseconds kOpening{2000};
    static constexpr Milliseconds kRestart{2900};
    static constexpr Milliseconds kSecondRequest{4100};

    //! Half of the flows send their second request later by this time.
    static constexpr Milliseconds kLater{350};
    static constexpr Milliseconds kEnd{11000};
    static constexpr int kFlowsPerVm = 30;

    //! Waits for a moment in which only one of the two relays is about to call the store.
    void awaitRelayWatch()
    {
        const Time begin = Clock::now();
        const Time end = begin + kSilence;
        const auto watches = this->deployment.store->hostWatches();
        int expected = 0;
        bool isAlone = watches.size() == 2;
        for (const Time watch : watches) {
            const Time next = watch + kWatchInterval;
            const bool isDue = next >= begin + kLead - Milliseconds(8) && next < begin + kLead;
            expected += isDue ? 1 : 0;
            isAlone = isAlone && (isDue || next > end + kMinDistance || next < begin);
        }
        for (const Time renewal : this->deployment.store->renewals()) {
            const Time next = renewal + kRenewInterval;
            isAlone = isAlone && (next < begin - kMinDistance || next > end + kMinDistance);
        }
        if (expected != 1 || !isAlone) {
            this->deployment.loop.after(Milliseconds(4), [this]() { this->awaitRelayWatch(); });
            return;
        }
        this->hasBegun = true;
        if (hasTrouble()) {
            this->deployment.record.write("the store is silent");
            this->deployment.store->setSilent(true);
        }
        this->deployment.loop.after(kSilence, [this]() { this->begin(); });
    }

    void begin()
    {
        Loop &loop = this->deployment.loop;
        this->deployment.record.write("the store responds");
        this->deployment.store->setSilent(false);
        if (hasTrouble()) {
            this->flows->judgeFrom(Clock::now() + kContact);
        }
        loop.after(kNewHost, [this]() {
            Host *added = this->deployment.addHost(kFirstId, kWork);
            if (added == nullptr) {
                this->hasBegun = false;
                this->deployment.loop.stop();
                return;
            }
            this->deployment.record.write(added->about().name + " is added");
            added->setOpeningHandler([this](const Packet &opening) {
                this->flowsOfAdded.push_back({opening.source, opening.target});
            });
        });
        loop.after(kOpening, [this]() { this->openFlows(); });
        loop.after(kRestart, [this]() { this->restartOne(); });
        loop.after(kEnd, [this]() { this->deployment.loop.stop(); });
    }

    void openFlows()
    {
        for (const auto &vm : this->deployment.vms) {
            for (int i = 0; i < kFlowsPerVm; ++i) {
                this->deployment.client->open(
                    this->deployment.portThrough(*vm), this->deployment.service(),
                    {Milliseconds(0), kSecondRequest - kOpening + kLater * (i % 2)});
            }
        }
    }

    bool knowsAdded(const Vm *vm) const
    {
        return std::ranges::any_of(this->flowsOfAdded, [this, vm](const FlowKey &flow) {
            return this->deployment.route(flow) == vm;
        });
    }

    //! Restarts the VM most of whose flows on the added host move to VMs that don't use it.
    void restartOne()
    {
        Vm *chosen = this->deployment.vms.front().get();
        std::ptrdiff_t most = -1;
        for (const auto &vm : this->deployment.vms) {
            const auto count = std::ranges::count_if(this->flowsOfAdded, [&](const FlowKey &flow) {
                return this->deployment.route(flow) == vm.get()
                    && !this->knowsAdded(this->deployment.route(flow, vm.get()));
            });
            if (count > most) {
                most = count;
                chosen = vm.get();
            }
            this->deployment.record.write(vm->name()
                                          + (this->knowsAdded(vm.get()) ? " uses" : " doesn't use")
                                          + " the added host");
        }
        chosen->restart();
    }

    Deployment &deployment;
    FlowCase *flows = nullptr;
    std::vector<FlowKey> flowsOfAdded;
    bool hasBegun = false;
};
}

Verdict runRelay(Deployment &deployment)
{
    return RelayCase(deployment).run();
}
}
