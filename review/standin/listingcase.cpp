#include "cases.h"
#include "flowcase.h"
#include "stockrelease.h"

namespace review {
namespace {

//! A host is added, and a VM that has opened flows on it is stopped as planned, while the VM that
//! takes these flows over has not listed the host yet. Without the trouble no VM is stopped.
class ListingCase
{
public:
    explicit ListingCase(Deployment &deployment) : deployment(deployment) { }

    Verdict run()
    {
        this->deployment.kind = "safe";
        this->deployment.warmup = kWarmup;
        if (!this->deployment.start(2, kStartDelay)) {
            return Verdict::NotRun;
        }
        FlowCase judge(this->deployment);
        StockRelease release(this->deployment);
        if (this->deployment.addHost(kFirstId, kWork) == nullptr
            || this->deployment.addHost(kOtherId, kWork) == nullptr || !release.start()) {
            return Verdict::NotRun;
        }
        for (int i = 1; i <= kFurtherHosts; ++i) {
            if (this->deployment.addHost(kOtherId + i * 7919U, kWork) == nullptr) {
                return Verdict::NotRun;
            }
        }
        Loop &loop = this->deployment.loop;
        this->deployment.whenReady([this, &loop]() {
            this->openFlow();
            loop.after(kCalm, [this]() { this->awaitMoment(); });
            loop.after(kLimit, [this, &loop]() {
                if (!this->hasBegun) {
                    loop.stop();
                }
            });
        });
        loop.run();
        if (!this->hasBegun) {
            this->deployment.record.write("the case could not begin");
            return Verdict::NotRun;
        }
        return verdict(this->deployment, judge.count());
    }

private:
    static constexpr std::uint64_t kFirstId = 0x7f3a91c200;
    static constexpr std::uint64_t kAddedId = 0x7f3a95c311;
    static constexpr std::uint64_t kOtherId = 0x51c0ffe100;
    static constexpr int kFurtherHosts = 1;
    static constexpr Milliseconds kWork{40};
    static constexpr Milliseconds kStartDelay{200};

    // Times after the VMs are ready.
    static constexpr Milliseconds kWarmup{2000};

    //! After this time the VMs open flows to cold hosts.
    static constexpr Milliseconds kCalm{9000};
    static constexpr Milliseconds kLimit{28000};

    //! Time between two calls of a VM that gets changes all the time.
    static constexpr Milliseconds kWatchInterval{1205};
    static constexpr Milliseconds kProbeInterval{500};
    static constexpr Milliseconds kMinLead{80};
    static constexpr Milliseconds kFlowInterval{60};
    static constexpr Milliseconds kEnd{9000};
    static constexpr int kFlows = 8;

    void at(Time time, std::function<void()> task)
    {
        const auto delay = std::chrono::ceil<Milliseconds>(time - Clock::now());
        this->deployment.loop.after(delay, std::move(task));
    }

    //! Opens flows with one request through the first VM, one after the other, which its hosts
    //! answer at once.
    void openFlow()
    {
        this->deployment.client->open(this->deployment.portThrough(*this->deployment.vms[0]),
                                      this->deployment.service(), {Milliseconds(0)});
        this->deployment.loop.after(kFlowInterval, [this]() { this->openFlow(); });
    }

    //! Waits until the second VM calls the store soon after the first one, and leaves the rotation
    //! soon after that if it is stopped now.
    void awaitMoment()
    {
        const auto watches = this->deployment.store->hostWatches();
        const Time now = Clock::now();
        if (watches.size() == 2) {
            const Time first = watches[0] + kWatchInterval;
            const Time second = watches[1] + kWatchInterval;
            const Time probe = this->deployment.vms[1]->nextProbe();
            const Time leaves = probe + kProbeInterval;
            const bool isNear = first > now && second - first > kMinLead
                && second - first < Milliseconds(400) && probe - now > Milliseconds(15)
                && probe - now < Milliseconds(40);
            if (isNear && leaves > second + Milliseconds(60)
                && leaves < first + Milliseconds(480)) {
                this->begin(first, second, leaves);
                return;
            }
        }
        this->deployment.loop.after(Milliseconds(3), [this]() { this->awaitMoment(); });
    }

    void begin(Time first, Time second, Time leaves)
    {
        this->hasBegun = true;
        if (hasTrouble()) {
            this->deployment.vms[1]->restart();
        }
        this->at(first + Milliseconds(40), [this]() {
            const Host *host = this->deployment.addHost(kAddedId, kWork);
            this->deployment.record.write(host == nullptr ? "the host can't start"
                                                          : host->about().name + " starts");
        });
        this->at(second + Milliseconds(30), [this, leaves]() {
            const auto pause = std::chrono::ceil<Milliseconds>(leaves - Clock::now());
            for (int i = 0; i < kFlows; ++i) {
                this->deployment.client->open(
                    this->deployment.portThrough(*this->deployment.vms[1]),
                    this->deployment.service(), {pause + Milliseconds(40)});
            }
        });
        this->at(second + kEnd, [this]() { this->deployment.loop.stop(); });
    }

    Deployment &deployment;
    bool hasBegun = false;
};
}

Verdict runListing(Deployment &deployment)
{
    return ListingCase(deployment).run();
}
}
