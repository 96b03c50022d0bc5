#include "distribution/relaychoice.h"
#include "testdatacentre.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
//! Time within which a change must reach every VM: the shortest limit of all deployments, minus the
//! batch delay of the relay's own follower.
constexpr std::chrono::milliseconds kPropagationBound{4000};

std::vector<TestDataCentre::Vm *> relays(TestDataCentre &dataCentre)
{
    std::vector<TestDataCentre::Vm *> found;
    for (std::size_t i = 0; i < dataCentre.names.size(); ++i) {
        if (relaysFor(dataCentre.names[i], dataCentre).empty()) {
            found.push_back(dataCentre.vms[i].get());
        }
    }
    return found;
}

std::uint64_t callsOf(const TestDataCentre &dataCentre)
{
    std::uint64_t sum = 0;
    for (const auto &vm : dataCentre.vms) {
        sum += vm->link.calls;
    }
    return sum;
}
}

Test(relayedstore, store_calls_grow_with_the_relays_and_not_with_the_vms)
{
    // A release: a key changes every half second for a minute.
    constexpr std::uint64_t kCallsPerRelay = 125;
    for (const int count : {8, 31, 60}) {
        TestDataCentre dataCentre(count);
        const std::uint64_t before = callsOf(dataCentre);
        for (int i = 0; i < 120; ++i) {
            dataCentre.store.put("up/a", std::to_string(i));
            dataCentre.loop.advance(500ms);
        }
        dataCentre.loop.advance(1s);
        cr_assert_leq(callsOf(dataCentre) - before, kCallsPerRelay * relays(dataCentre).size(),
                      "%d VMs", count);
        for (const auto &vm : dataCentre.vms) {
            cr_assert(vm->values["up/a"] == "119");
        }
    }
}

Test(relayedstore, changes_arrive_in_time_during_every_relay_fault)
{
    struct Row
    {
        const char *name;
        void (*fault)(TestDataCentre &);
    };
    const Row rows[] = {
        {"calm", [](TestDataCentre &) {}},
        {"one relay paused",
         [](TestDataCentre &dataCentre) { relays(dataCentre)[0]->isPaused = true; }},
        {"both relays paused",
         [](TestDataCentre &dataCentre) {
             for (auto *relay : relays(dataCentre)) {
                 relay->isPaused = true;
             }
         }},
        {"one relay cut off from the store",
         [](TestDataCentre &dataCentre) { relays(dataCentre)[0]->link.isCut = true; }},
        {"both relays cut off from the store",
         [](TestDataCentre &dataCentre) {
             for (auto *relay : relays(dataCentre)) {
                 relay->link.isCut = true;
             }
         }},
        {"history compacted", [](TestDataCentre &dataCentre) { dataCentre.store.compact(); }},
    };
    for (const Row &row : rows) {
        for (const std::size_t bytes : {10U, 200000U}) {
            TestDataCentre dataCentre(10);
            row.fault(dataCentre);
            dataCentre.store.put("up/a", std::string(bytes, 'x'));
            dataCentre.loop.advance(kPropagationBound);
            for (const auto &vm : dataCentre.vms) {
                const bool isAffected = vm->isPaused || vm->link.isCut;
                cr_assert(isAffected || vm->values["up/a"].size() == bytes, "%s, %zu bytes",
                          row.name, bytes);
            }
        }
    }
}

Test(relayedstore, a_relay_serves_again_after_a_pause)
{
    TestDataCentre dataCentre(10);
    relays(dataCentre)[0]->isPaused = true;
    dataCentre.loop.advance(10s);
    relays(dataCentre)[0]->isPaused = false;
    dataCentre.loop.advance(15s);
    const std::uint64_t before = callsOf(dataCentre);
    dataCentre.loop.advance(14s);
    // Two relays with a watch every two and a half seconds.
    cr_assert_leq(callsOf(dataCentre) - before, 12U);
}

Test(relayedstore, a_relay_reports_to_its_peers_that_the_store_is_lost_and_restored)
{
    TestDataCentre dataCentre(10);
    std::map<const TestDataCentre::Vm *, std::vector<bool>> notifications;
    for (const auto &vm : dataCentre.vms) {
        vm->relayedStore.setConnectionHandler([&notifications, own = vm.get()](bool isConnected) {
            notifications[own].push_back(isConnected);
            if (isConnected) {
                own->relayedStore.onStoreRestored();
            } else {
                own->relayedStore.onStoreLost("reported by a relay");
            }
        });
    }
    // No lease renewal is in flight at this point.
    dataCentre.loop.advance(2500ms);
    const auto relayVms = relays(dataCentre);
    for (auto *relay : relayVms) {
        relay->link.isCut = true;
        relay->relayedStore.onStoreLost("cut");
    }
    dataCentre.loop.advance(1s);
    for (const auto &vm : dataCentre.vms) {
        const bool isRelay = std::ranges::find(relayVms, vm.get()) != relayVms.end();
        cr_assert_eq(notifications[vm.get()].size(), isRelay ? 0U : 1U);
    }
    for (auto *relay : relayVms) {
        relay->link.isCut = false;
        relay->relayedStore.onStoreRestored();
    }
    dataCentre.loop.advance(8s);
    for (const auto &vm : dataCentre.vms) {
        const bool isRelay = std::ranges::find(relayVms, vm.get()) != relayVms.end();
        cr_assert(isRelay || notifications[vm.get()] == (std::vector<bool>{false, true}));
    }
}

Test(relayedstore, no_vm_claims_to_have_a_change_that_its_relay_has_not_received)
{
    // Guards against resets of flows on an upstream that was added while the watch of a relay hung:
    // the store is silent for a moment, and the relay's other calls get responses afterwards.
    for (const auto silence : {120ms, 250ms, 1000ms, 2600ms, 6000ms}) {
        for (auto offset = 0ms; offset < 1500ms; offset += 50ms) {
            TestDataCentre dataCentre(6);
            dataCentre.store.put("up/a", "1");
            dataCentre.loop.advance(offset);
            dataCentre.store.setMode(standins::MemoryStore::Mode::Silent);
            dataCentre.loop.advance(silence);
            dataCentre.store.setMode(standins::MemoryStore::Mode::Serving);
            dataCentre.loop.advance(200ms);
            dataCentre.store.put("up/b", "added");
            const auto addedAt = dataCentre.clock.now();
            for (int step = 0; step < 200; ++step) {
                dataCentre.loop.advance(50ms);
                for (const auto &vm : dataCentre.vms) {
                    cr_assert(vm->confirmedAt <= addedAt || vm->values.contains("up/b"),
                              "silent for %ld ms after %ld ms", silence.count(), offset.count());
                }
            }
        }
    }
}

Test(relayedstore, every_vm_has_all_changes_soon_after_a_silence_of_the_store_however_short)
{
    // Guards against orders that take effect late: the call of a watch fell into a silence that no
    // other call noticed, and the watch was waited for.
    for (const auto silence : {100ms, 250ms, 600ms, 1000ms, 1900ms, 2600ms, 4000ms, 6000ms}) {
        for (auto offset = 0ms; offset < 2600ms; offset += 65ms) {
            TestDataCentre dataCentre(6);
            dataCentre.store.put("up/a", "1");
            dataCentre.loop.advance(offset);
            dataCentre.store.put("up/b", "response may be lost");
            dataCentre.loop.advance(2ms);
            dataCentre.store.setMode(standins::MemoryStore::Mode::Silent);
            dataCentre.store.put("up/c", "accepted meanwhile");
            dataCentre.loop.advance(silence);
            dataCentre.store.setMode(standins::MemoryStore::Mode::Serving);
            dataCentre.loop.advance(TestDataCentre::kStoreRecovery);
            for (const auto &vm : dataCentre.vms) {
                cr_assert_eq(vm->values.size(), 3U, "silent for %ld ms after %ld ms",
                             silence.count(), offset.count());
            }
        }
    }
}
