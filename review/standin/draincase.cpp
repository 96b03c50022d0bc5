#include "cases.h"

#include <algorithm>

namespace review {
namespace {
std::string durationText(Clock::duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count()) + " ms";
}

//! Two hosts are taken away one after the other, and the store is silent for a moment after it has
//! accepted that the second one drains.
class DrainCase
{
public:
    explicit DrainCase(Deployment &deployment) : deployment(deployment) { }

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
        this->first = this->deployment.hosts[0].get();
        this->second = this->deployment.hosts[1].get();
        this->second->setOpeningHandler([this](const Packet &opening) { this->check(opening); });
        this->deployment.client->setOutcomeHandler(
            [this](const Client::Flow &, Client::Outcome outcome) {
                this->lost += outcome == Client::Outcome::Answered ? 0 : 1;
            });
        this->deployment.whenReady([this]() {
            this->openFlows();
            this->deployment.loop.after(kCalm, [this]() { this->awaitRenewals(Clock::now()); });
        });
        this->deployment.loop.run();
        this->deployment.record.write("flows opened: " + std::to_string(this->opened)
                                      + ", not answered: " + std::to_string(this->lost));
        return verdict(this->deployment, this->violations);
    }

private:
    static constexpr int kVms = 3;
    static constexpr std::uint64_t kHosts = 6;
    static constexpr std::uint64_t kFirstId = 0x7f3a91c200;
    static constexpr Milliseconds kWork{150};
    static constexpr Milliseconds kCalm{5000};
    static constexpr Milliseconds kFlowInterval{20};

    // Bounds of a small deployment.
    static constexpr Milliseconds kDrainBound{3000};
    static constexpr Milliseconds kContact{4000};

    // The lease renewals of the VMs, 2 s apart, don't fall into the silence.
    static constexpr Milliseconds kFirstDrain{1850};
    static constexpr Milliseconds kSecondDrain{2250};
    static constexpr Milliseconds kSilence{2950};
    static constexpr Milliseconds kSilenceLength{250};
    static constexpr Milliseconds kFirstEnd{kFirstDrain + Milliseconds(3600)};
    static constexpr Milliseconds kSecondEnd{kSecondDrain + Milliseconds(6400)};
    static constexpr Milliseconds kEnd{15000};

    void openFlows()
    {
        const auto &vms = this->deployment.vms;
        const Vm &vm = *vms[static_cast<std::size_t>(this->opened) % vms.size()];
        this->deployment.client->open(this->deployment.portThrough(vm), this->deployment.service(),
                                      {Milliseconds(0)});
        ++this->opened;
        this->deployment.loop.after(kFlowInterval, [this]() { this->openFlows(); });
    }

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
        this->at(origin, kFirstDrain, [this]() { this->first->drain(); });
        this->at(origin, kSecondDrain, [this]() {
            this->second->drain();
            this->drainingSince = Clock::now();
            this->judgedFrom = this->drainingSince + kDrainBound;
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
        this->at(origin, kFirstEnd, [this]() { this->first->leave(); });
        this->at(origin, kSecondEnd, [this]() { this->second->leave(); });
        this->at(origin, kEnd, [this]() { this->deployment.loop.stop(); });
    }

    void check(const Packet &opening)
    {
        const Client::Flow *flow = this->deployment.client->find(opening.source.port);
        if (this->drainingSince == Time() || flow == nullptr
            || flow->synSentAt < this->judgedFrom) {
            return;
        }
        ++this->violations;
        this->deployment.record.write("BROKEN: " + this->second->about().name
                                      + " gets the opening packet of flow "
                                      + std::to_string(opening.source.port) + " "
                                      + durationText(Clock::now() - this->drainingSince)
                                      + " after the store accepted that it drains");
    }

    Deployment &deployment;
    Host *first = nullptr;
    Host *second = nullptr;
    Time drainingSince;
    Time judgedFrom;
    int opened = 0;
    int lost = 0;
    int violations = 0;
};
}

Verdict runDrain(Deployment &deployment)
{
    return DrainCase(deployment).run();
}
}
