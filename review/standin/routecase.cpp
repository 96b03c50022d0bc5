#include "cases.h"

#include <algorithm>

namespace review {
namespace {

//! A route is added, and the store is silent for a moment after it has accepted the configuration.
class RouteCase
{
public:
    explicit RouteCase(Deployment &deployment) : deployment(deployment) { }

    Verdict run()
    {
        if (!this->deployment.start(kVms)) {
            return Verdict::NotRun;
        }
        for (std::uint64_t id = 0; id < kHosts; ++id) {
            if (this->deployment.addHost(kFirstId + id * 7919, kWork) == nullptr) {
                return Verdict::NotRun;
            }
        }
        this->deployment.client->setOutcomeHandler(
            [this](const Client::Flow &flow, Client::Outcome outcome) {
                this->check(flow, outcome);
            });
        this->deployment.whenReady([this]() {
            this->deployment.loop.after(kCalm, [this]() { this->awaitRenewals(Clock::now()); });
        });
        this->deployment.loop.run();
        return verdict(this->deployment, this->violations);
    }

private:
    static constexpr int kVms = 3;
    static constexpr std::uint64_t kHosts = 3;
    static constexpr std::uint64_t kFirstId = 0x7f3a91c200;
    static constexpr Milliseconds kWork{50};
    static constexpr Milliseconds kCalm{5000};
    static constexpr Milliseconds kFlowInterval{50};

    // Bounds of a small deployment.
    static constexpr Milliseconds kConfigurationBound{3000};
    static constexpr Milliseconds kContact{4000};

    // The lease renewals of the VMs, 2 s apart, don't fall into the silence.
    static constexpr Milliseconds kFirstChange{2350};
    static constexpr Milliseconds kAddedRoute{2550};
    static constexpr Milliseconds kSilence{2750};
    static constexpr Milliseconds kSilenceLength{250};
    static constexpr Milliseconds kEnd{11000};

    //! Begins when the VMs have renewed their leases, which they do together.
    void awaitRenewals(Time since)
    {
        const Time renewedAt = this->deployment.store->lastRenewal();
        if (renewedAt > since && Clock::now() - renewedAt > Milliseconds(100)) {
            this->begin(renewedAt);
            return;
        }
        this->deployment.loop.after(Milliseconds(10),
                                    [this, since]() { this->awaitRenewals(since); });
    }

    void at(Time origin, Milliseconds offset, std::function<void()> task)
    {
        const auto delay = std::chrono::ceil<Milliseconds>(origin + offset - Clock::now());
        this->deployment.loop.after(delay, std::move(task));
    }

    void begin(Time origin)
    {
        this->at(origin, kFirstChange, [this]() { this->deployment.configure(5, false); });
        this->at(origin, kAddedRoute, [this]() {
            this->deployment.configure(7, true);
            this->deployment.record.write(
                "the store has accepted a configuration with a new route");
            this->acceptedAt = Clock::now();
            this->judgedFrom = this->acceptedAt + kConfigurationBound;
            this->openFlow();
        });
        if (hasTrouble()) {
            this->at(origin, kSilence, [this]() {
                this->deployment.store->setSilent(true);
                this->deployment.record.write("the store is silent");
            });
            this->at(origin, kSilence + kSilenceLength, [this]() {
                this->deployment.store->setSilent(false);
                this->deployment.record.write("the store responds again");
                this->judgedFrom = std::max(this->judgedFrom, Clock::now() + kContact);
            });
        }
        this->at(origin, kEnd, [this]() { this->deployment.loop.stop(); });
    }

    void openFlow()
    {
        const auto &vms = this->deployment.vms;
        const Vm &vm = *vms[static_cast<std::size_t>(this->opened) % vms.size()];
        ++this->opened;
        this->deployment.client->open(this->deployment.portThrough(vm),
                                      {this->deployment.service().address, 8082},
                                      {Milliseconds(0)});
        this->deployment.loop.after(kFlowInterval, [this]() { this->openFlow(); });
    }

    void check(const Client::Flow &flow, Client::Outcome outcome)
    {
        if (outcome != Client::Outcome::NeverOpened || !flow.isResetByVm
            || flow.synSentAt < this->judgedFrom) {
            return;
        }
        ++this->violations;
        const auto age = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->acceptedAt);
        this->deployment.record.write(
            "BROKEN: flow " + std::to_string(flow.key.client.port) + " on the new route is refused "
            + std::to_string(age.count()) + " ms after the store accepted the configuration");
    }

    Deployment &deployment;
    Time acceptedAt;
    Time judgedFrom;
    int opened = 0;
    int violations = 0;
};
}

Verdict runRoute(Deployment &deployment)
{
    return RouteCase(deployment).run();
}
}
