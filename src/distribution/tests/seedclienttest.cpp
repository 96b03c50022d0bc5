#include "distribution/seedclient.h"

#include "distribution/relaycodec.h"
#include "distribution/types/relayanswer.h"
#include "neighbourhood.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "restart.h"
#include "scriptedconnection.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
//! No VM reaches the store.
void cutAll(Neighbourhood &all)
{
    for (auto &vm : all.vms) {
        vm->link.isCut = true;
        vm->fanout.onStoreTrouble("cut");
    }
}

//! As its lease does in a VM that starts while the store does not answer.
Neighbourhood::Vm &restartCut(Neighbourhood &all, std::size_t index)
{
    Neighbourhood::Vm &vm = restart(all, index, true);
    vm.fanout.onStoreTrouble("cut");
    vm.follower.onStoreTrouble("cut");
    return vm;
}
}

Test(seedclient, a_vm_that_starts_while_the_store_is_away_knows_what_its_seeds_know)
{
    // Replays a data centre that was cut off and most of whose VMs ended and started again.
    struct Row
    {
        const char *name;
        std::uint16_t seeds;
        void (*trouble)(Neighbourhood &);
        bool isSynchronized;
    };
    const Row rows[] = {
        {"three seeds run on", 3, [](Neighbourhood &) {}, true},
        {"one of three runs on", 3,
         [](Neighbourhood &all) {
             all.vms[0]->isPaused = true;
             all.vms[1]->isPaused = true;
         },
         true},
        {"none runs on", 3,
         [](Neighbourhood &all) {
             for (std::size_t i = 0; i < 3; ++i) {
                 all.vms[i]->isPaused = true;
             }
         },
         false},
        {"seeds have started anew themselves", 3,
         [](Neighbourhood &all) {
             for (std::size_t i = 0; i < 3; ++i) {
                 restartCut(all, i);
             }
         },
         false},
        {"no seeds", 0, [](Neighbourhood &) {}, false},
    };
    for (const Row &row : rows) {
        Neighbourhood all(8);
        all.seedCount = row.seeds;
        all.store.put("up/a", "here");
        all.loop.advance(4s);
        cutAll(all);
        row.trouble(all);
        all.loop.advance(1s);
        Neighbourhood::Vm &vm = restartCut(all, 7);
        all.loop.advance(1s);
        cr_assert_eq(vm.follower.isSynchronized(), row.isSynchronized, "%s", row.name);
        cr_assert_eq(vm.values.count("up/a"), row.isSynchronized ? 1U : 0U, "%s", row.name);
        cr_assert_eq(vm.upToDate, 0, "%s", row.name);
        // The store is back and has the last word.
        all.store.remove("up/a");
        all.store.put("up/b", "here");
        vm.link.isCut = false;
        vm.fanout.onStoreReturned();
        vm.follower.onStoreReturned();
        all.loop.advance(2s);
        cr_assert_eq(vm.values.count("up/a"), 0U, "%s", row.name);
        cr_assert_eq(vm.values.count("up/b"), 1U, "%s", row.name);
        cr_assert_gt(vm.upToDate, 0, "%s", row.name);
    }
}

Test(seedclient, a_store_that_is_well_is_asked_alone)
{
    Neighbourhood all(3);
    all.seedCount = 3;
    all.store.put("up/a", "here");
    all.loop.advance(4s);
    const std::uint64_t before = all.vms[0]->link.calls;
    Neighbourhood::Vm &vm = restart(all, 2);
    all.loop.advance(200ms);
    cr_assert_eq(vm.values.count("up/a"), 1U);
    cr_assert_gt(vm.upToDate, 0);
    cr_assert_eq(vm.link.calls, 1U);
    cr_assert_eq(all.vms[0]->link.calls, before);
}

Test(seedclient, answers_that_cannot_be_read_are_passed_over)
{
    struct Row
    {
        const char *name;
        int status;
        std::string body;
        bool isTaken;
    };
    const std::string whole = relayText({.verdict = RelayVerdict::Nothing});
    const Row rows[] = {
        {"whole", 200, whole, true},
        {"half", 200, whole.substr(0, whole.size() / 2), false},
        {"no text", 200, "\xff\xfe", false},
        {"nothing known", 503, whole, false},
        {"too large", 200, relayText({.verdict = RelayVerdict::AskStore}), false},
    };
    for (const Row &row : rows) {
        ManualClock clock;
        net::ManualEventLoop loop(clock);
        SeedClient source(clock,
                          [&row](const net::Endpoint &) {
                              return std::make_unique<ScriptedConnection>(row.status, row.body);
                          },
                          {{1, 1}});
        int taken = 0;
        source.ask("up/", [&taken](const net::Endpoint &, const RelayAnswer &) { ++taken; });
        for (int i = 0; i < 8; ++i) {
            clock.advance(250ms);
            source.tick();
        }
        cr_assert_eq(taken, row.isTaken ? 1 : 0, "%s", row.name);
    }
}
