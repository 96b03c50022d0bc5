#include "distribution/relaychoice.h"
#include "distribution/relaycodec.h"
#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotage.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "restart.h"
#include "store/types/readkind.h"
#include "testdatacentre.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
std::vector<std::size_t> indicesOf(const TestDataCentre &dataCentre, bool areRelays)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < dataCentre.names.size(); ++i) {
        if (relaysFor(dataCentre.names[i], dataCentre).empty() == areRelays) {
            found.push_back(i);
        }
    }
    return found;
}

template <typename Change>
void applyToRelays(TestDataCentre &dataCentre, Change change)
{
    for (const std::size_t relay : indicesOf(dataCentre, true)) {
        change(*dataCentre.vms[relay]);
    }
}
}

Test(handover, a_restarted_vm_lists_from_its_peers_and_not_from_the_store)
{
    TestDataCentre dataCentre(20);
    for (int i = 0; i < 30; ++i) {
        dataCentre.store.put("up/" + std::to_string(i), "here");
    }
    dataCentre.loop.advance(3s);
    for (const std::size_t index : indicesOf(dataCentre, false)) {
        TestDataCentre::Vm &vm = restart(dataCentre, index);
        dataCentre.loop.advance(100ms);
        cr_assert(vm.follower.isSynchronized());
        cr_assert_eq(vm.values.size(), 30U);
        cr_assert_eq(vm.link.calls, 0U);
    }
    dataCentre.store.put("up/new", "here");
    dataCentre.loop.advance(4s);
    for (const auto &vm : dataCentre.vms) {
        cr_assert_eq(vm->values.count("up/new"), 1U);
    }
}

Test(handover, a_peer_that_does_not_respond_delays_a_start_only_briefly)
{
    // After a power failure of the data centre, peers are still listed as members, but most peers
    // are starting, too.
    TestDataCentre dataCentre(20);
    dataCentre.store.put("up/a", "here");
    dataCentre.loop.advance(4s);
    applyToRelays(dataCentre, [](auto &vm) { vm.isPaused = true; });
    TestDataCentre::Vm &vm = restart(dataCentre, indicesOf(dataCentre, false).front());
    dataCentre.loop.advance(60ms);
    cr_assert(vm.follower.isSynchronized());
    cr_assert_eq(vm.values.count("up/a"), 1U);
    cr_assert_eq(vm.link.calls, 1U);
}

Test(handover, a_start_succeeds_through_any_relay_while_the_store_is_slow)
{
    // All VMs of a data centre start at once: some relays are still down or have no listing yet.
    struct Row
    {
        const char *name;
        void (*fault)(TestDataCentre &, std::size_t preferred, std::size_t other);
    };
    const Row rows[] = {
        {"both relays run", [](TestDataCentre &, std::size_t, std::size_t) {}},
        {"the preferred relay is down",
         [](TestDataCentre &dataCentre, std::size_t preferred, std::size_t) {
             dataCentre.vms[preferred]->isPaused = true;
         }},
        {"the preferred relay has lost the store",
         [](TestDataCentre &dataCentre, std::size_t preferred, std::size_t) {
             dataCentre.vms[preferred]->cache.recordStoreLost();
         }},
        {"both relays start, too",
         [](TestDataCentre &dataCentre, std::size_t preferred, std::size_t other) {
             restart(dataCentre, preferred);
             restart(dataCentre, other);
         }},
        {"the preferred relay is down and the other one starts, too",
         [](TestDataCentre &dataCentre, std::size_t preferred, std::size_t other) {
             dataCentre.vms[preferred]->isPaused = true;
             restart(dataCentre, other);
         }},
    };
    for (const Row &row : rows) {
        TestDataCentre dataCentre(20);
        dataCentre.store.put("up/a", "here");
        dataCentre.loop.advance(4s);
        const std::size_t index = indicesOf(dataCentre, false).front();
        const auto relays = relaysFor(dataCentre.names[index], dataCentre);
        row.fault(dataCentre, relays[0].port, relays[1].port);
        TestDataCentre::Vm &vm = restart(dataCentre, index, true);
        dataCentre.loop.advance(100ms);
        cr_assert(vm.follower.isSynchronized(), "%s", row.name);
        cr_assert_eq(vm.values.count("up/a"), 1U, "%s", row.name);
    }
}

Test(handover, an_empty_listing_is_a_valid_response)
{
    TestDataCentre dataCentre(20);
    dataCentre.loop.advance(3s);
    TestDataCentre::Vm &vm = restart(dataCentre, indicesOf(dataCentre, false).front());
    dataCentre.loop.advance(100ms);
    cr_assert(vm.follower.isSynchronized());
    cr_assert_eq(vm.link.calls, 0U);
}

Test(handover, a_restarted_vm_does_not_use_removed_items_under_any_fault_of_the_relays)
{
    // An upstream leaves, or an operator withdraws a key, and a VM starts right afterwards.
    struct Row
    {
        const char *name;
        void (*fault)(TestDataCentre &);
        std::chrono::milliseconds lag; //!< time by which relays may be behind the store
    };
    const Row rows[] = {
        {"calm", [](TestDataCentre &) {}, 1s},
        {"relays cut off from the store",
         [](TestDataCentre &dataCentre) {
             applyToRelays(dataCentre, [](auto &vm) { vm.link.isCut = true; });
         },
         3s},
        {"relays paused",
         [](TestDataCentre &dataCentre) {
             applyToRelays(dataCentre, [](auto &vm) { vm.isPaused = true; });
         },
         0s},
        {"relays that resume after a pause, which their monotonic clock did not count",
         [](TestDataCentre &dataCentre) {
             applyToRelays(dataCentre, [](auto &vm) { vm.link.isCut = true; });
             dataCentre.clock.suspend(20s);
         },
         0s},
    };
    for (const Row &row : rows) {
        TestDataCentre dataCentre(20);
        dataCentre.store.put("up/leaving", "here");
        dataCentre.store.put("up/staying", "here");
        dataCentre.loop.advance(4s);
        row.fault(dataCentre);
        dataCentre.store.remove("up/leaving");
        dataCentre.loop.advance(row.lag);
        TestDataCentre::Vm &vm = restart(dataCentre, indicesOf(dataCentre, false).front());
        dataCentre.loop.advance(2s);
        cr_assert(vm.follower.isSynchronized(), "%s", row.name);
        cr_assert_eq(vm.values.count("up/leaving"), 0U, "%s", row.name);
        cr_assert_eq(vm.values.count("up/staying"), 1U, "%s", row.name);
    }
}

Test(handover, sends_only_snapshots_that_are_complete_and_recent_enough)
{
    struct Row
    {
        const char *name;
        void (*change)(ChangeCache &);
        store::ReadKind listed;
        SnapshotAge allowed;
        std::chrono::milliseconds age;
        RelayOutcome outcome;
    };
    using store::ReadKind;
    static constexpr ChangeCache::BootTime kStart{1h};
    const auto none = [](ChangeCache &) {};
    const Row rows[] = {
        {"listed, and watched next", none, ReadKind::Linearizable, SnapshotAge::New, 0ms,
         RelayOutcome::Changes},
        {"no response of the store for long", none, ReadKind::Linearizable, SnapshotAge::New, 3s,
         RelayOutcome::Unavailable},
        {"listed by a stale read", none, ReadKind::Stale, SnapshotAge::New, 0ms,
         RelayOutcome::Unavailable},
        {"listed periodically, which is enough for a stale read", none, ReadKind::Stale,
         SnapshotAge::Polled, 5s, RelayOutcome::Changes},
        {"listed too long ago", none, ReadKind::Stale, SnapshotAge::Polled, 7s,
         RelayOutcome::Unavailable},
        {"listed too long ago, while the store does not respond", none, ReadKind::Stale,
         SnapshotAge::Any, 7s, RelayOutcome::Changes},
        {"half of a listing",
         [](ChangeCache &cache) {
             store::StoreListing page{.status = store::StoreStatus::Ok, .revision = 6};
             page.items.push_back({.key = "up/a", .revision = 2});
             page.hasMore = true;
             cache.addPage("up/", ReadKind::Linearizable, "", page, 0ns, 0ns);
             cache.addChanges("up/", 5, {.revision = 5}, 0ns);
         },
         ReadKind::Linearizable, SnapshotAge::New, 0ms, RelayOutcome::Unavailable},
        {"received from a peer",
         [](ChangeCache &cache) {
             cache.addRelayedListing("up/", {.status = store::StoreStatus::Ok, .revision = 6},
                                     kStart);
         },
         ReadKind::Stale, SnapshotAge::Polled, 0ms, RelayOutcome::Unavailable},
        {"trouble",
         [](ChangeCache &cache) {
             cache.addChanges("up/", 5, {.revision = 5}, kStart);
             cache.recordStoreLost();
         },
         ReadKind::Linearizable, SnapshotAge::New, 0ms, RelayOutcome::Unavailable},
    };
    for (const Row &row : rows) {
        ChangeCache cache;
        cache.recordResponse(kStart);
        cache.addPage("up/", row.listed, "", {.status = store::StoreStatus::Ok, .revision = 5},
                      kStart, kStart);
        row.change(cache);
        const RelayResponse response = cache.snapshot("up/", row.allowed, kStart + row.age);
        cr_assert_eq(response.outcome, row.outcome, "%s", row.name);
    }
}

Test(handover, vms_that_start_together_do_not_fill_the_link_of_a_relay)
{
    constexpr std::size_t kBudget = 1024 * 1024;
    TestDataCentre dataCentre(20);
    for (int i = 0; i < 50; ++i) {
        dataCentre.store.put("up/" + std::to_string(i), std::string(1000, 'x'));
    }
    dataCentre.loop.advance(3s);
    RelayServer &relay = dataCentre.vms[indicesOf(dataCentre, true).front()]->server;
    std::size_t sent = 0;
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        relay.handle({.path = "/listing", .query = "prefix=up%2F&age=new"},
                     [&](const net::HttpResponse &response) {
                         const bool isRefusal =
                             parseRelayText(response.body)->outcome == RelayOutcome::QueryStore;
                         sent += isRefusal ? 0 : response.body.size();
                         refused += isRefusal ? 1 : 0;
                     });
    }
    cr_assert_gt(sent, 0U);
    cr_assert_leq(sent, kBudget);
    cr_assert_gt(refused, 0);
}

Test(handover, malformed_requests_are_rejected)
{
    TestDataCentre dataCentre(8);
    const char *const rows[] = {"", "prefix=up%2F", "prefix=up%2F&age=", "prefix=up%2F&age=old",
                                "age=0"};
    for (const char *query : rows) {
        int status = 0;
        dataCentre.vms[0]->server.handle(
            {.path = "/listing", .query = query},
            [&](const net::HttpResponse &response) { status = response.status; });
        cr_assert_eq(status, 400, "%s", query);
    }
}
