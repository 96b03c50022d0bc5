#include "distribution/tests/feedfleet.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstdio>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
const std::string kHead(store::kConfigurationKey);
const std::string kOther = std::string(store::kEpochPrefix) + "portal";

//! Watchers of the store in fleets of two data centres.
constexpr int kWatchers = 4;

int firstWatcher(const FeedFleet &fleet)
{
    return std::ranges::find_if(fleet.nodes,
                                [](const auto &item) { return item.second->feed.isWatching(); })
        ->first;
}
}

Test(documentfeed, few_watch_and_all_have_it_within_five_seconds)
{
    FeedFleet fleet(9);
    fleet.store.put(kHead, "one");
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "one"));
    cr_assert_eq(fleet.watchers(), kWatchers);
    fleet.store.put(kHead, "two");
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "two"));
    for (const auto &[index, node] : fleet.nodes) {
        cr_assert(
            node->vm.membership.isRevisionKnownByAll(node->feed.revision(), node->vm.clock.now()));
        cr_assert(node->vm.isConfident());
    }
}

Test(documentfeed, a_vm_alone_without_list_works)
{
    FeedFleet fleet(1);
    fleet.store.put(std::string(store::kVmListKey), "[]");
    fleet.store.put(kHead, "one");
    fleet.run(1s);
    cr_assert(fleet.allHave(kHead, "one"));
    cr_assert(fleet.at(0).vm.isConfident());
}

Test(documentfeed, a_watcher_that_dies_is_replaced)
{
    FeedFleet fleet(9);
    fleet.run(4s);
    fleet.kill(firstWatcher(fleet));
    fleet.kill(firstWatcher(fleet));
    fleet.store.put(kHead, "one");
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "one"));
    cr_assert_eq(fleet.watchers(), kWatchers);
}

Test(documentfeed, a_hung_watch_is_noticed)
{
    FeedFleet fleet(9);
    fleet.run(4s);
    fleet.store.areWatchesHung = true;
    fleet.store.put(kHead, "one");
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "one"));
}

Test(documentfeed, an_outage_of_a_minute_changes_nothing_and_heals)
{
    FeedFleet fleet(9);
    fleet.store.put(kHead, "one");
    fleet.run(5s);
    fleet.store.isDown = true;
    fleet.store.put(kHead, "two");
    fleet.run(60s, [&] { cr_assert(fleet.allHave(kHead, "one")); });
    fleet.store.isDown = false;
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "two"));
}

Test(documentfeed, a_vm_born_in_an_outage_gets_everything_from_the_others)
{
    FeedFleet fleet(9);
    fleet.store.put(kHead, "one");
    fleet.store.put(kOther, "epoch");
    fleet.run(5s);
    fleet.kill(4);
    fleet.run(5s);
    fleet.store.isDown = true;
    fleet.run(2s);
    fleet.start(4);
    fleet.run(5s);
    cr_assert(fleet.at(4).value(kHead) == "one");
    cr_assert(fleet.at(4).value(kOther) == "epoch");
    cr_assert(fleet.at(4).vm.isConfident());
}

Test(documentfeed, what_one_vm_wrote_spreads_while_the_store_is_down)
{
    FeedFleet fleet(9);
    fleet.store.put(kOther, "epoch");
    fleet.run(5s);
    fleet.store.isDown = true;
    fleet.at(8).feed.offer({.key = kHead, .value = "one", .revision = 500});
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "one"));
}

struct SlowRow
{
    int delayMs;
    bool areAnswersLost;
};

// Watches go on though calls are slow or their answers are lost.
ParameterizedTestParameters(documentfeed, slow_store)
{
    static SlowRow rows[] = {{500, false}, {1900, false}, {5000, false}, {10, true}};
    return cr_make_param_array(SlowRow, rows, sizeof rows / sizeof *rows);
}

ParameterizedTest(SlowRow *row, documentfeed, slow_store)
{
    FeedFleet fleet(9);
    fleet.run(5s);
    fleet.store.delay = std::chrono::milliseconds(row->delayMs);
    fleet.store.areAnswersLost = row->areAnswersLost;
    fleet.store.put(kHead, "one");
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "one"));
}

Test(documentfeed, older_answers_change_nothing)
{
    FeedFleet fleet(9);
    fleet.store.put(kHead, "one");
    fleet.store.put(kOther, "epoch");
    fleet.run(5s);
    fleet.store.freezeReads();
    fleet.store.put(kHead, "two");
    fleet.run(5s);
    cr_assert(fleet.allHave(kHead, "two"));
    // Lists afresh, by new watchers too, see the store as it was.
    fleet.store.isDown = true;
    fleet.run(1s);
    fleet.store.isDown = false;
    fleet.kill(firstWatcher(fleet));
    fleet.run(10s, [&] { cr_assert(fleet.allHave(kHead, "two")); });
    cr_assert(fleet.allHave(kOther, "epoch"));
}

Test(documentfeed, large_documents_travel_in_pieces)
{
    FeedFleet fleet(5);
    fleet.run(4s);
    for (int i = 0; i < 20; ++i) {
        fleet.store.put(std::string(store::kPartPrefix) + std::to_string(i),
                        std::string(100'000, 'x'));
    }
    fleet.run(5s);
    for (int i = 0; i < 20; ++i) {
        cr_assert(fleet.allHave(std::string(store::kPartPrefix) + std::to_string(i),
                                std::string(100'000, 'x')));
    }
}

// Calls to the store a minute, over all VMs, with one change every two seconds.
Test(documentfeed, calls_to_the_store_do_not_grow_with_the_fleet)
{
    for (const int count : {3, 9, 30, 100}) {
        FeedFleet fleet(count);
        fleet.run(10s);
        const auto calls = [&fleet] {
            std::uint64_t sum = 0;
            for (const auto &[index, node] : fleet.nodes) {
                sum += node->client.calls;
            }
            return sum;
        };
        const std::uint64_t atStart = calls();
        for (int i = 0; i < 30; ++i) {
            fleet.store.put(kOther, std::to_string(i));
            fleet.run(2s);
        }
        std::printf("vms=%d calls_at_start=%lu calls_a_minute=%lu watchers=%d\n", count, atStart,
                    calls() - atStart, fleet.watchers());
        std::fflush(stdout);
        cr_assert_leq(calls() - atStart, 200);
        cr_assert_leq(atStart, static_cast<std::uint64_t>(40 + 8 * count));
    }
}

Test(documentfeed, what_is_in_force_only_grows_and_ends_equal)
{
    cr_assert(rc::check([] {
        const int count = 5;
        FeedFleet fleet(count, *rc::gen::arbitrary<std::uint64_t>());
        fleet.fleet.lossPercent = *rc::gen::inRange(0, 20);
        std::map<int, int> highest;
        const auto check = [&] {
            for (const auto &[index, node] : fleet.nodes) {
                const std::string text = node->value(kHead);
                const int generation = text.empty() ? 0 : std::stoi(text);
                RC_ASSERT(generation >= highest[index]);
                highest[index] = generation;
            }
        };
        int generation = 0;
        for (int i = 0; i < 12; ++i) {
            const int index = *rc::gen::inRange(0, count);
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                fleet.start(index);
                highest[index] = 0;
                break;
            case 1:
                fleet.at(index).vm.isPaused = !fleet.at(index).vm.isPaused;
                break;
            case 2:
                fleet.at(index).vm.group = 1 - fleet.at(index).vm.group;
                break;
            case 3:
                fleet.store.isDown = !fleet.store.isDown;
                break;
            case 4:
                fleet.store.areWatchesHung = !fleet.store.areWatchesHung;
                break;
            case 5:
                *rc::gen::arbitrary<bool>() ? fleet.store.freezeReads() : fleet.store.thawReads();
                break;
            default:
                fleet.store.put(kHead, std::to_string(++generation));
            }
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(50, 4000)), check);
        }
        fleet.fleet.lossPercent = 0;
        fleet.store.isDown = fleet.store.areWatchesHung = false;
        fleet.store.thawReads();
        for (const auto &[index, node] : fleet.nodes) {
            node->vm.isPaused = false;
            node->vm.group = 0;
        }
        fleet.run(20s, check);
        RC_ASSERT(generation == 0 || fleet.allHave(kHead, std::to_string(generation)));
    }));
}
