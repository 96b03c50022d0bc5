#include "cases.h"
#include "flowcase.h"
#include "stockrelease.h"

namespace review {
namespace {

//! A host is taken down and starts again under the id that it had, and a VM is stopped as planned
//! just then. Without the trouble the host starts under a new id.
class ReturnCase
{
public:
    explicit ReturnCase(Deployment &deployment) : deployment(deployment) { }

    Verdict run()
    {
        if (!this->deployment.start(2, kStartDelay)) {
            return Verdict::NotRun;
        }
        FlowCase judge(this->deployment);
        StockRelease release(this->deployment);
        if (this->deployment.addHost(kId, kWork) == nullptr
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
            loop.after(kDrain, [this]() { this->deployment.hosts[0]->drain(); });
            loop.after(kLeave, [this]() { this->deployment.hosts[0]->leave(); });
            loop.after(kReturn, [this]() { this->awaitMoment(); });
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
    static constexpr std::uint64_t kId = 0x7f3a91c200;
    static constexpr std::uint64_t kNewId = 0x7f3a95c311;
    static constexpr std::uint64_t kOtherId = 0x51c0ffe100;
    static constexpr int kFurtherHosts = 6;
    static constexpr Milliseconds kWork{300};
    static constexpr Milliseconds kStartDelay{200};

    // Times after the VMs are ready.
    static constexpr Milliseconds kDrain{3000};
    static constexpr Milliseconds kLeave{kDrain + Milliseconds(3600)};
    static constexpr Milliseconds kReturn{kLeave + Milliseconds(2000)};
    static constexpr Milliseconds kLimit{28000};

    //! Time between two calls of a VM that gets changes all the time.
    static constexpr Milliseconds kWatchInterval{1205};
    static constexpr Milliseconds kProbeInterval{500};
    static constexpr Milliseconds kMinLead{80};
    static constexpr Milliseconds kEnd{9000};
    static constexpr int kFlows = 24;

    void at(Time time, std::function<void()> task)
    {
        const auto delay = std::chrono::ceil<Milliseconds>(time - Clock::now());
        this->deployment.loop.after(delay, std::move(task));
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
                && leaves < second + Milliseconds(350)) {
                this->begin(first, second, leaves);
                return;
            }
        }
        this->deployment.loop.after(Milliseconds(3), [this]() { this->awaitMoment(); });
    }

    void begin(Time first, Time second, Time leaves)
    {
        this->hasBegun = true;
        this->deployment.vms[1]->restart();
        this->at(first + Milliseconds(40), [this]() {
            const Host *host = this->deployment.addHost(hasTrouble() ? kId : kNewId, kWork,
                                                        "orders", this->deployment.hosts[0].get());
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

Verdict runReturn(Deployment &deployment)
{
    return ReturnCase(deployment).run();
}
}
