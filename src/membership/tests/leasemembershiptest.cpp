#include "membership/leasemembership.h"

#include "net/manualeventloop.h"
#include "standins/memorystore.h"
#include "store/iconnectionlistener.h"
#include "store/iprefixlistener.h"
#include "store/prefixfollower.h"
#include "store/prefixpoller.h"
#include "telemetry/ieventlog.h"

#include <criterion/criterion.h>
#include <memory>

using namespace radishladder;
using namespace radishladder::membership;
using namespace std::chrono_literals;
using standins::MemoryStore;

namespace {
class NoLog : public telemetry::IEventLog
{
public:
    bool accepts(telemetry::LogKind) override { return false; }
    void write(const telemetry::LogEntry &) override { }
};

struct Vm
{
    Vm(MemoryStore &store, net::IEventLoop &loop, const IClock &clock, NoLog &log, const char *name,
       const char *dataCentre)
        : membership(store, loop, clock, log, VmName(name), DataCentreName(dataCentre),
                     RelayOffer{.address = {1, 7735}, .mbps = 200}),
          poller(store, loop, this->membership, LeaseMembership::prefix(DataCentreName(dataCentre)),
                 2500ms)
    {
        this->poller.start();
        this->membership.join();
    }

    LeaseMembership membership;
    store::PrefixPoller poller;
};

class CountingConnectionListener : public store::IConnectionListener
{
public:
    void onStoreLost(const std::string &) override { ++this->lostCount; }
    void onStoreRestored() override { ++this->restoredCount; }

    int lostCount = 0;
    int restoredCount = 0;
};

struct Fixture
{
    ManualClock clock;
    net::ManualEventLoop loop{this->clock};
    MemoryStore store{this->loop};
    NoLog log;
    Vm a{this->store, this->loop, this->clock, this->log, "a", "obuda"};
    Vm b{this->store, this->loop, this->clock, this->log, "b", "obuda"};
    Vm c{this->store, this->loop, this->clock, this->log, "c", "kobanya"};

    Fixture() { this->loop.advance(3s); }

    std::size_t memberCountAtA() { return this->a.membership.members().size(); }
};
}

Test(leasemembership, members_of_a_data_centre_list_each_other)
{
    Fixture f;
    cr_assert_eq(f.memberCountAtA(), 2U);
    cr_assert_eq(f.c.membership.members().size(), 1U);
}

Test(leasemembership, members_publish_their_relay_address_and_link_speed)
{
    Fixture f;
    const auto offer = f.a.membership.relayOfferOf(VmName("b"));
    cr_assert(offer.has_value());
    cr_assert_eq(offer->address.port, 7735);
    cr_assert_eq(offer->mbps, 200);
    cr_assert_not(f.a.membership.relayOfferOf(VmName("c")).has_value());
    for (const char *text : {"", "{}", "10.0.0.1:7735", "10.0.0.1 200", "10.0.0.1:7735 fast"}) {
        f.a.membership.onChanges({{.key = "vms/obuda/b", .value = text}});
        cr_assert_not(f.a.membership.relayOfferOf(VmName("b")).has_value(), "%s", text);
    }
}

Test(leasemembership, a_new_member_is_settled_after_its_peers_have_listed_it)
{
    Fixture f;
    cr_assert_not(f.a.membership.isSettled());
    f.loop.advance(5500ms);
    cr_assert(f.a.membership.isSettled());
    Vm joining(f.store, f.loop, f.clock, f.log, "z", "obuda");
    std::chrono::milliseconds waited{0};
    for (; !joining.membership.isSettled(); waited += 100ms) {
        f.loop.advance(100ms);
    }
    cr_assert_eq(f.memberCountAtA(), 3U);
    cr_assert(waited >= 8s && waited < 9s);
}

Test(leasemembership, a_member_that_left_is_removed_only_after_the_grace_period)
{
    Fixture f;
    f.b.membership.leave();
    f.loop.advance(3s);
    cr_assert_eq(f.memberCountAtA(), 2U);
    f.loop.advance(9s);
    cr_assert_eq(f.memberCountAtA(), 1U);
}

Test(leasemembership, a_revoked_lease_is_acquired_again_without_a_gap_in_membership)
{
    Fixture f;
    for (std::uint64_t lease = 1; lease <= 3; ++lease) {
        f.store.expire(lease);
    }
    for (int i = 0; i < 20; ++i) {
        f.loop.advance(500ms);
        cr_assert_eq(f.memberCountAtA(), 2U, "after %d ms", (i + 1) * 500);
    }
    cr_assert_eq(f.store.items().size(), 3U);
}

Test(leasemembership, many_revocations_do_not_increase_the_renewal_rate)
{
    Fixture f;
    for (std::uint64_t lease = 1; lease <= 9; ++lease) {
        f.store.expire(lease);
        f.loop.advance(700ms);
    }
    f.loop.advance(10s);
    const std::uint64_t callsBefore = f.store.calls();
    f.loop.advance(40s);
    // Three VMs with twenty renewals and sixteen polls each in 40 seconds.
    cr_assert_leq(f.store.calls() - callsBefore, 3U * (20 + 16));
}

Test(leasemembership, a_store_outage_does_not_change_the_members)
{
    Fixture f;
    f.store.setMode(MemoryStore::Mode::Refusing);
    f.loop.advance(10s);
    cr_assert_eq(f.memberCountAtA(), 2U);
    f.store.setMode(MemoryStore::Mode::Serving);
    f.loop.advance(3s);
    cr_assert_eq(f.memberCountAtA(), 2U);
    cr_assert_eq(f.store.items().size(), 3U);
}

namespace {
class CountingListener : public store::IPrefixListener
{
public:
    void onSnapshot(const std::vector<store::StoreItem> &) override { }
    void onChanges(const std::vector<store::StoreItem> &items) override
    {
        this->changeCount += items.size();
    }
    void onConnectionLost(const std::string &) override { }
    void onConnectionRestored() override { }

    std::size_t changeCount = 0;
};
}

Test(leasemembership, a_watch_lost_in_an_outage_without_responses_is_replaced_soon_after_recovery)
{
    // Guards against this failure: the store did not respond for six seconds while watches were
    // pending, the responses of the watches were lost, and the VM detected a draining upstream only
    // nine seconds after the store had recovered.
    for (const auto outage : {2500ms, 6000ms, 9000ms}) {
        Fixture f;
        CountingListener listener;
        store::PrefixFollower follower(f.store, f.loop, listener, "up/", {});
        follower.start();
        f.a.membership.setConnectionListener(follower);
        f.loop.advance(1s);
        f.store.setMode(MemoryStore::Mode::Silent);
        f.loop.advance(outage);
        f.store.setMode(MemoryStore::Mode::Serving);
        f.loop.advance(2100ms);
        f.store.put("up/new", "{}");
        f.loop.advance(400ms);
        cr_assert_eq(listener.changeCount, 1U, "%d ms", static_cast<int>(outage.count()));
    }
}

Test(leasemembership, calls_to_a_failing_store_back_off_and_its_recovery_is_detected)
{
    struct Row
    {
        const char *name;
        MemoryStore::Mode mode;
    };
    const Row rows[] = {
        {"refuses at once", MemoryStore::Mode::Refusing},
        {"silent", MemoryStore::Mode::Silent},
    };
    for (const Row &row : rows) {
        Fixture f;
        f.store.setMode(row.mode);
        f.loop.advance(10s);
        const std::uint64_t callsBefore = f.store.calls();
        f.loop.advance(20s);
        // Three VMs renew their leases every two seconds and poll their members every two and a
        // half seconds.
        cr_assert_leq(f.store.calls() - callsBefore, 3U * (10 + 8), "%s", row.name);
        f.store.setMode(MemoryStore::Mode::Serving);
        const std::uint64_t callsAtRecovery = f.store.calls();
        f.loop.advance(2100ms);
        cr_assert_geq(f.store.calls() - callsAtRecovery, 3U, "%s", row.name);
    }
}

Test(leasemembership, a_vm_with_a_live_relay_renews_less_often_and_reports_store_failures_at_once)
{
    Fixture f;
    f.loop.advance(5s);
    for (Vm *vm : {&f.a, &f.b, &f.c}) {
        vm->membership.setLiveRelay(true);
    }
    f.loop.advance(3s);
    const std::uint64_t callsBefore = f.store.calls();
    f.loop.advance(20s);
    // Three VMs renew their leases every five seconds and poll their members every two and a half
    // seconds.
    cr_assert_leq(f.store.calls() - callsBefore, 3U * (4 + 8));
    CountingConnectionListener listener;
    f.a.membership.setConnectionListener(listener);
    f.a.membership.suspectStore("a relay lost the store");
    cr_assert_eq(listener.lostCount, 1);
    f.loop.advance(100ms);
    cr_assert_eq(listener.restoredCount, 1);
    f.store.setMode(MemoryStore::Mode::Refusing);
    f.a.membership.checkStore();
    f.loop.advance(100ms);
    cr_assert_eq(listener.lostCount, 2);
    f.store.setMode(MemoryStore::Mode::Serving);
    f.a.membership.checkStore();
    f.loop.advance(100ms);
    cr_assert_eq(listener.restoredCount, 2);
}

Test(leasemembership, the_store_is_regained_in_time_also_if_the_live_relay_fails_before_it_says_so)
{
    constexpr auto kStoreRecovery = 4000ms;
    for (auto outage = 100ms; outage <= 12000ms; outage += 100ms) {
        Fixture f;
        f.loop.advance(5s);
        CountingConnectionListener listener;
        f.a.membership.setConnectionListener(listener);
        f.a.membership.setLiveRelay(true);
        f.store.setMode(MemoryStore::Mode::Silent);
        f.a.membership.suspectStore("a relay lost the store");
        f.loop.advance(outage);
        f.store.setMode(MemoryStore::Mode::Serving);
        f.loop.advance(kStoreRecovery);
        cr_assert_eq(listener.restoredCount, 1, "silent for %ld ms", outage.count());
    }
}
