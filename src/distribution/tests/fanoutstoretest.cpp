#include "distribution/relaychoice.h"
#include "neighbourhood.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
//! Shortest bound of the deployments that this serves, less the pause of the relay's own follower.
constexpr std::chrono::milliseconds kBound{4000};

std::vector<Neighbourhood::Vm *> relays(Neighbourhood &all)
{
    std::vector<Neighbourhood::Vm *> found;
    for (std::size_t i = 0; i < all.names.size(); ++i) {
        if (relaysFor(all.names[i], all).empty()) {
            found.push_back(all.vms[i].get());
        }
    }
    return found;
}

std::uint64_t callsOf(const Neighbourhood &all)
{
    std::uint64_t sum = 0;
    for (const auto &vm : all.vms) {
        sum += vm->link.calls;
    }
    return sum;
}
}

Test(fanoutstore, calls_grow_with_the_relays_and_not_with_the_vms)
{
    // Replays a release: something changes every half second for a minute.
    constexpr std::uint64_t kCallsPerRelay = 125;
    for (const int count : {8, 31, 60}) {
        Neighbourhood all(count);
        const std::uint64_t before = callsOf(all);
        for (int i = 0; i < 120; ++i) {
            all.store.put("up/a", std::to_string(i));
            all.loop.advance(500ms);
        }
        all.loop.advance(1s);
        cr_assert_leq(callsOf(all) - before, kCallsPerRelay * relays(all).size(), "%d VMs", count);
        for (const auto &vm : all.vms) {
            cr_assert(vm->values["up/a"] == "119");
        }
    }
}

Test(fanoutstore, changes_are_heard_in_time_through_every_trouble_of_a_relay)
{
    struct Row
    {
        const char *name;
        void (*trouble)(Neighbourhood &);
    };
    const Row rows[] = {
        {"calm", [](Neighbourhood &) {}},
        {"one relay paused", [](Neighbourhood &all) { relays(all)[0]->isPaused = true; }},
        {"both relays paused",
         [](Neighbourhood &all) {
             for (auto *relay : relays(all)) {
                 relay->isPaused = true;
             }
         }},
        {"one relay cut off from the store",
         [](Neighbourhood &all) { relays(all)[0]->link.isCut = true; }},
        {"both relays cut off from the store",
         [](Neighbourhood &all) {
             for (auto *relay : relays(all)) {
                 relay->link.isCut = true;
             }
         }},
        {"history dropped", [](Neighbourhood &all) { all.store.compact(); }},
    };
    for (const Row &row : rows) {
        for (const std::size_t bytes : {10U, 200000U}) {
            Neighbourhood all(10);
            row.trouble(all);
            all.store.put("up/a", std::string(bytes, 'x'));
            all.loop.advance(kBound);
            for (const auto &vm : all.vms) {
                const bool isExcused = vm->isPaused || vm->link.isCut;
                cr_assert(isExcused || vm->values["up/a"].size() == bytes, "%s, %zu bytes",
                          row.name, bytes);
            }
        }
    }
}

Test(fanoutstore, after_a_pause_the_relay_serves_again)
{
    Neighbourhood all(10);
    relays(all)[0]->isPaused = true;
    all.loop.advance(10s);
    relays(all)[0]->isPaused = false;
    all.loop.advance(15s);
    const std::uint64_t before = callsOf(all);
    all.loop.advance(14s);
    // Two relays with a watch every seven seconds.
    cr_assert_leq(callsOf(all) - before, 6U);
}

Test(fanoutstore, a_relay_tells_its_neighbours_that_the_store_is_lost_and_back)
{
    Neighbourhood all(10);
    std::map<const Neighbourhood::Vm *, std::vector<bool>> heard;
    for (const auto &vm : all.vms) {
        vm->fanout.watchContact([&heard, own = vm.get()](bool answers) {
            heard[own].push_back(answers);
            if (answers) {
                own->fanout.onStoreReturned();
            } else {
                own->fanout.onStoreTrouble("told by a relay");
            }
        });
    }
    // No renewal is on its way.
    all.loop.advance(2500ms);
    const auto sources = relays(all);
    for (auto *relay : sources) {
        relay->link.isCut = true;
        relay->fanout.onStoreTrouble("cut");
    }
    all.loop.advance(1s);
    for (const auto &vm : all.vms) {
        const bool isRelay = std::ranges::find(sources, vm.get()) != sources.end();
        cr_assert_eq(heard[vm.get()].size(), isRelay ? 0U : 1U);
    }
    for (auto *relay : sources) {
        relay->link.isCut = false;
        relay->fanout.onStoreReturned();
    }
    all.loop.advance(8s);
    for (const auto &vm : all.vms) {
        const bool isRelay = std::ranges::find(sources, vm.get()) != sources.end();
        cr_assert(isRelay || heard[vm.get()] == (std::vector<bool>{false, true}));
    }
}
