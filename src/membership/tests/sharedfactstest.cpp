#include "membership/membershipbounds.h"
#include "membership/tests/fleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::membership;
using namespace std::chrono_literals;

namespace {
const std::string kKey = "mark";

Fleet::Value numbered(int number)
{
    return {static_cast<std::uint8_t>(number), static_cast<std::uint8_t>(number >> 8)};
}

bool allKnow(Fleet &fleet, int origin, const std::string &key,
             const std::optional<Fleet::Value> &value)
{
    return std::ranges::all_of(fleet.all(), [&](const auto &item) {
        return item.second->facts.value(Fleet::listed(origin).name, key) == value;
    });
}

bool isKnownByAll(Fleet::Vm &vm)
{
    return vm.facts.isKnownByAll(kKey, vm.clock.now());
}

//! Every VM that trusts its view knows each fact that its origin holds to be known by all.
void checkNeverEarly(Fleet &fleet)
{
    for (const auto &[origin, owner] : fleet.all()) {
        const auto stated = owner->facts.value(owner->name, kKey);
        if (owner->isPaused || !stated || !isKnownByAll(*owner)) {
            continue;
        }
        for (const auto &[index, vm] : fleet.all()) {
            RC_ASSERT(!vm->isConfident() || vm->facts.value(owner->name, kKey) == stated);
        }
    }
}
}

Test(sharedfacts, facts_spread_are_replaced_and_withdrawn)
{
    Fleet fleet(8);
    fleet.run(3s);
    int changes = 0;
    fleet.at(5).facts.subscribe([&](const VmName &origin, const std::string &, const auto &) {
        changes += origin == Fleet::listed(0).name ? 1 : 0;
    });
    fleet.at(0).facts.publish(kKey, {1});
    cr_assert(!isKnownByAll(fleet.at(0)));
    fleet.run(500ms);
    cr_assert(allKnow(fleet, 0, kKey, Fleet::Value{1}));
    cr_assert(isKnownByAll(fleet.at(0)));
    cr_assert_eq(fleet.at(3).facts.origins(kKey).size(), 1);
    fleet.at(0).facts.publish(kKey, {2});
    cr_assert(!isKnownByAll(fleet.at(0)));
    fleet.run(500ms);
    cr_assert(allKnow(fleet, 0, kKey, Fleet::Value{2}));
    fleet.at(0).facts.withdraw(kKey);
    fleet.run(500ms);
    cr_assert(allKnow(fleet, 0, kKey, std::nullopt));
    cr_assert_eq(changes, 3);
}

Test(sharedfacts, thirty_percent_loss_loses_no_fact)
{
    Fleet fleet(8);
    fleet.run(3s);
    fleet.lossPercent = 30;
    for (int i = 0; i < 8; ++i) {
        for (int key = 0; key < 20; ++key) {
            fleet.at(i).facts.publish("key-" + std::to_string(key), numbered(i));
        }
    }
    fleet.run(20s);
    for (int i = 0; i < 8; ++i) {
        for (int key = 0; key < 20; ++key) {
            cr_assert(allKnow(fleet, i, "key-" + std::to_string(key), numbered(i)));
        }
    }
}

Test(sharedfacts, a_restarted_vm_has_no_facts)
{
    Fleet fleet(4);
    fleet.run(3s);
    fleet.at(1).facts.publish(kKey, {1});
    fleet.at(2).facts.publish(kKey, {2});
    fleet.run(1s);
    fleet.kill(1);
    fleet.run(5s);
    cr_assert(allKnow(fleet, 1, kKey, Fleet::Value{1}), "facts of a dead VM stay");
    fleet.start(1);
    fleet.applyList();
    fleet.run(4s);
    cr_assert(allKnow(fleet, 1, kKey, std::nullopt));
    cr_assert(allKnow(fleet, 2, kKey, Fleet::Value{2}));
}

Test(sharedfacts, facts_of_a_forgotten_vm_vanish)
{
    Fleet fleet(3);
    fleet.run(3s);
    fleet.at(2).facts.publish(kKey, {1});
    fleet.run(1s);
    fleet.kill(2);
    fleet.list.pop_back();
    fleet.applyList();
    fleet.run(12s);
    cr_assert(allKnow(fleet, 2, kKey, std::nullopt));
    cr_assert(fleet.at(0).isConfident());
}

// The bounds: a silent VM has lost its confidence before the others stop waiting for it.
Test(sharedfacts, a_silent_vm_counts_as_done_only_after_it_cannot_be_confident)
{
    for (const std::size_t count : {1, 3, 9, 100, 1000}) {
        cr_assert(silenceBound(count) > freshnessBound(count));
        cr_assert(silenceBound(count) - freshnessBound(count) >= kClockMargin);
    }
    Fleet fleet(8);
    fleet.run(3s);
    fleet.at(7).group = 1;
    fleet.at(0).facts.publish(kKey, {1});
    std::optional<int> lostAt;
    std::optional<int> doneAt;
    int step = 0;
    fleet.run(10s, [&] {
        ++step;
        if (!lostAt && !fleet.at(7).isConfident()) {
            lostAt = step;
        }
        if (!doneAt && isKnownByAll(fleet.at(0))) {
            doneAt = step;
        }
    });
    cr_assert(lostAt && doneAt);
    cr_assert_lt(*lostAt, *doneAt);
}

Test(sharedfacts, a_minority_never_calls_its_facts_known)
{
    Fleet fleet(8);
    fleet.run(3s);
    fleet.at(0).group = fleet.at(1).group = 1;
    fleet.at(0).facts.publish(kKey, {1});
    fleet.run(30s);
    cr_assert(!isKnownByAll(fleet.at(0)));
    fleet.at(0).group = fleet.at(1).group = 0;
    fleet.run(6s);
    cr_assert(isKnownByAll(fleet.at(0)));
}

// Views of facts that change all the time are never quite equal.
Test(sharedfacts, vms_stay_confident_while_facts_change)
{
    Fleet fleet(30);
    fleet.run(5s);
    for (int i = 0; i < 20; ++i) {
        for (const int index : {3, 13, 23}) {
            fleet.at(index).facts.publish(kKey, numbered(i));
        }
        fleet.run(1s);
    }
    for (const auto &[index, vm] : fleet.all()) {
        cr_assert(vm->isConfident());
    }
}

Test(sharedfacts, known_by_all_never_comes_early)
{
    cr_assert(rc::check([] {
        const int count = 5;
        Fleet fleet(count, *rc::gen::arbitrary<std::uint64_t>());
        fleet.run(2s);
        fleet.lossPercent = *rc::gen::inRange(0, 31);
        fleet.repeatPercent = *rc::gen::inRange(0, 20);
        fleet.maxDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        const auto check = [&fleet] { checkNeverEarly(fleet); };
        int number = 0;
        for (int i = 0; i < 12; ++i) {
            const int index = *rc::gen::inRange(0, count);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.start(index);
                fleet.at(index).membership.applyVmList(fleet.listRevision, fleet.list);
                break;
            case 1:
                fleet.at(index).isPaused = !fleet.at(index).isPaused;
                break;
            case 2:
                fleet.at(index).group = 1 - fleet.at(index).group;
                break;
            default:
                if (!fleet.at(index).isPaused) {
                    fleet.at(index).facts.publish(kKey, numbered(++number));
                }
            }
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(50, 6000)), check);
        }
        fleet.lossPercent = 0;
        for (const auto &[index, vm] : fleet.all()) {
            vm->isPaused = false;
            vm->group = 0;
        }
        fleet.run(12s, check);
        for (const auto &[index, vm] : fleet.all()) {
            RC_ASSERT(allKnow(fleet, index, kKey, vm->facts.value(vm->name, kKey)));
            RC_ASSERT(vm->isConfident());
        }
    }));
}
