#pragma once

#include "distribution/changecache.h"
#include "distribution/relaychoice.h"
#include "distribution/relayedstore.h"
#include "distribution/relayserver.h"
#include "fakepeer.h"
#include "membership/imembership.h"
#include "membership/types/relayoffer.h"
#include "net/manualeventloop.h"
#include "standins/memorystore.h"
#include "store/delaybudget.h"
#include "store/iprefixlistener.h"
#include "store/prefixfollower.h"
#include "storelink.h"
#include "telemetry/ieventlog.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace radishladder::distribution {

//! The VMs of one data centre, each with its own link to one store, on a manual clock.
class TestDataCentre : public membership::IMembership, public telemetry::IEventLog
{
public:
    //! Longest time after an outage until all VMs have all changes.
    static constexpr std::chrono::milliseconds kStoreRecovery{4000};

    struct Vm : public store::IPrefixListener
    {
        Vm(TestDataCentre &dataCentre, int number)
            : link(dataCentre.store, dataCentre.loop),
              relayedStore(
                  link, cache, dataCentre.loop, dataCentre.clock, dataCentre,
                  [&dataCentre, number](const net::Endpoint &relay) {
                      return std::make_unique<FakePeer>(
                          dataCentre.loop, dataCentre.vms[relay.port]->server,
                          dataCentre.vms[relay.port]->isPaused,
                          dataCentre.isOfReleaseBefore(number)
                              || dataCentre.isOfReleaseBefore(relay.port));
                  },
                  dataCentre.names[static_cast<std::size_t>(number)], dataCentre.seedsOf(number)),
              server(cache, dataCentre.clock),
              follower(relayedStore, dataCentre.loop, *this, "up/",
                       {.watchWait = store::FollowerPacing::watchWaitFor(kStoreRecovery)})
        {
            if (dataCentre.limit) {
                const store::DelayBudget budget(*dataCentre.limit);
                this->relayedStore.setPauseEndHandler([this]() {
                    this->relayedStore.renewLease(1, [](const store::StoreLease &) {});
                });
                this->relayedStore.setBudget("up/", budget);
                this->follower.setBatchDelays(
                    isRelay(dataCentre.names[static_cast<std::size_t>(number)], dataCentre)
                        ? budget.relayPause()
                        : budget.directPause(),
                    store::DelayBudget::kPeerPause);
            }
            this->link.hidesEra = dataCentre.isOfReleaseBefore(number);
            this->relayedStore.setMembership(dataCentre);
            this->relayedStore.eras().addListener(
                [this](std::uint64_t, std::uint64_t) { this->follower.onNewEra(); });
            this->server.setOfferHandler([this, &dataCentre](const SnapshotOffer &offer) {
                ++dataCentre.offers;
                return this->relayedStore.acceptOffer(offer);
            });
        }

        void onSnapshot(const std::vector<store::StoreItem> &items) override
        {
            this->values.clear();
            this->onChanges(items);
        }
        void onChanges(const std::vector<store::StoreItem> &items) override
        {
            for (const store::StoreItem &item : items) {
                if (item.isRemoval) {
                    this->values.erase(item.key);
                } else {
                    this->values[item.key] = item.value;
                }
            }
        }
        void onUpToDate(std::chrono::steady_clock::time_point confirmed) override
        {
            ++this->upToDateCalls;
            this->confirmedAt = std::max(this->confirmedAt, confirmed);
        }
        void onEraChanged() override { ++this->eraChanges; }
        void onConnectionLost(const std::string &) override { }
        void onConnectionRestored() override { }

        std::map<std::string, std::string> values;

        //! Number of calls to onUpToDate().
        int upToDateCalls = 0;

        //! Number of calls to onEraChanged().
        int eraChanges = 0;

        //! Time until which this VM claims to have all changes.
        std::chrono::steady_clock::time_point confirmedAt;
        bool isPaused = false;
        StoreLink link;
        ChangeCache cache;
        RelayedStore relayedStore;
        RelayServer server;
        store::PrefixFollower follower;
    };

    //! \a changeLimit is the time within which changes must reach every VM, if there is a limit.
    explicit TestDataCentre(int count, std::set<int> vmsOfReleaseBefore = {},
                            std::optional<std::chrono::milliseconds> changeLimit = std::nullopt)
        : limit(changeLimit), releaseBefore(std::move(vmsOfReleaseBefore))
    {
        const auto renewInterval = changeLimit ? store::DelayBudget(*changeLimit).renewInterval()
                                               : std::chrono::milliseconds(2000);
        for (int i = 0; i < count; ++i) {
            this->names.emplace_back("obuda-" + std::to_string(i));
        }
        for (int i = 0; i < count; ++i) {
            this->vms.push_back(std::make_unique<Vm>(*this, i));
        }
        for (auto &vm : this->vms) {
            vm->follower.start();
            this->loop.every(renewInterval, [&vm]() {
                vm->relayedStore.renewLease(1, [](const store::StoreLease &) {});
            });
            this->loop.every(std::chrono::milliseconds(250), [&vm]() {
                if (!vm->isPaused) {
                    vm->server.tick();
                    vm->relayedStore.tick();
                }
            });
        }
        this->store.grantLease(std::chrono::hours(1), [](const store::StoreLease &) {});
        this->loop.advance(std::chrono::seconds(12));
    }

    const std::vector<VmName> &members() const override { return this->names; }

    //! The port of a VM's address is its index in \a vms.
    std::optional<membership::RelayOffer> relayOfferOf(const VmName &member) const override
    {
        const auto name = std::ranges::find(this->names, member);
        const auto port = static_cast<std::uint16_t>(name - this->names.begin());
        return membership::RelayOffer{.address = {1, port}, .mbps = 200};
    }
    bool isSettled() const override { return true; }
    bool accepts(telemetry::LogKind) override { return false; }
    void write(const telemetry::LogEntry &) override { }

    std::vector<net::Endpoint> seedsOf(int number) const
    {
        std::vector<net::Endpoint> seeds;
        for (std::uint16_t i = 0; i < this->seedCount; ++i) {
            if (i != number) {
                seeds.push_back({1, i});
            }
        }
        return seeds;
    }

    //! VMs of the release before know no eras.
    bool isOfReleaseBefore(int number) const { return this->releaseBefore.contains(number); }

    //! Number of seed VMs, whose addresses are configured at all other VMs.
    std::uint16_t seedCount = 0;

    //! Number of snapshot offers that the VMs have received.
    std::uint64_t offers = 0;

    std::optional<std::chrono::milliseconds> limit;
    ManualClock clock;
    net::ManualEventLoop loop{this->clock};
    standins::MemoryStore store{this->loop};
    std::set<int> releaseBefore;
    std::vector<VmName> names;
    std::vector<std::unique_ptr<Vm>> vms;

    //! Earlier instances of restarted VMs, kept because their pending calls may still get a
    //! response.
    std::vector<std::unique_ptr<Vm>> ended;
};
}
