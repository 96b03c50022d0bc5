#include "distribution/relaychoice.h"
#include "distribution/relaycodec.h"
#include "distribution/types/copyage.h"
#include "distribution/types/relayanswer.h"
#include "neighbourhood.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"
#include "restart.h"
#include "store/types/readkind.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
std::vector<std::size_t> indicesOf(const Neighbourhood &all, bool areRelays)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < all.names.size(); ++i) {
        if (relaysFor(all.names[i], all).empty() == areRelays) {
            found.push_back(i);
        }
    }
    return found;
}

template <typename Change>
void changeRelays(Neighbourhood &all, Change change)
{
    for (const std::size_t relay : indicesOf(all, true)) {
        change(*all.vms[relay]);
    }
}
}

Test(handover, a_vm_that_starts_anew_asks_its_neighbours_and_not_the_store)
{
    Neighbourhood all(20);
    for (int i = 0; i < 30; ++i) {
        all.store.put("up/" + std::to_string(i), "here");
    }
    all.loop.advance(3s);
    for (const std::size_t index : indicesOf(all, false)) {
        Neighbourhood::Vm &vm = restart(all, index);
        all.loop.advance(100ms);
        cr_assert(vm.follower.isSynchronized());
        cr_assert_eq(vm.values.size(), 30U);
        cr_assert_eq(vm.link.calls, 0U);
    }
    all.store.put("up/new", "here");
    all.loop.advance(4s);
    for (const auto &vm : all.vms) {
        cr_assert_eq(vm->values.count("up/new"), 1U);
    }
}

Test(handover, a_neighbour_that_does_not_answer_holds_a_start_up_for_a_moment_only)
{
    // Replays the loss of all power: neighbours are members still, but most of them start, too.
    Neighbourhood all(20);
    all.store.put("up/a", "here");
    all.loop.advance(4s);
    changeRelays(all, [](auto &vm) { vm.isPaused = true; });
    Neighbourhood::Vm &vm = restart(all, indicesOf(all, false).front());
    all.loop.advance(60ms);
    cr_assert(vm.follower.isSynchronized());
    cr_assert_eq(vm.values.count("up/a"), 1U);
    cr_assert_eq(vm.link.calls, 1U);
}

Test(handover, an_empty_listing_is_an_answer)
{
    Neighbourhood all(20);
    all.loop.advance(3s);
    Neighbourhood::Vm &vm = restart(all, indicesOf(all, false).front());
    all.loop.advance(100ms);
    cr_assert(vm.follower.isSynchronized());
    cr_assert_eq(vm.link.calls, 0U);
}

Test(handover, what_has_gone_is_not_in_use_again_after_a_start_whatever_befalls_the_giver)
{
    // An upstream leaves, or an operator withdraws a key, and a VM starts right afterwards.
    struct Row
    {
        const char *name;
        void (*trouble)(Neighbourhood &);
        std::chrono::milliseconds lag; //!< by which givers may lag for themselves
    };
    const Row rows[] = {
        {"calm", [](Neighbourhood &) {}, 1s},
        {"givers cut off from the store",
         [](Neighbourhood &all) { changeRelays(all, [](auto &vm) { vm.link.isCut = true; }); }, 3s},
        {"givers paused",
         [](Neighbourhood &all) { changeRelays(all, [](auto &vm) { vm.isPaused = true; }); }, 0s},
        {"givers that wake from a pause, and whose monotonic time has not counted it",
         [](Neighbourhood &all) {
             changeRelays(all, [](auto &vm) { vm.link.isCut = true; });
             all.clock.suspend(20s);
         },
         0s},
    };
    for (const Row &row : rows) {
        Neighbourhood all(20);
        all.store.put("up/leaving", "here");
        all.store.put("up/staying", "here");
        all.loop.advance(4s);
        row.trouble(all);
        all.store.remove("up/leaving");
        all.loop.advance(row.lag);
        Neighbourhood::Vm &vm = restart(all, indicesOf(all, false).front());
        all.loop.advance(2s);
        cr_assert(vm.follower.isSynchronized(), "%s", row.name);
        cr_assert_eq(vm.values.count("up/leaving"), 0U, "%s", row.name);
        cr_assert_eq(vm.values.count("up/staying"), 1U, "%s", row.name);
    }
}

Test(handover, a_giver_hands_over_only_what_is_whole_and_new)
{
    struct Row
    {
        const char *name;
        void (*change)(ChangeBoard &);
        store::ReadKind listed;
        CopyAge allowed;
        std::chrono::milliseconds age;
        RelayVerdict verdict;
    };
    using store::ReadKind;
    static constexpr ChangeBoard::BootTime kStart{1h};
    const auto none = [](ChangeBoard &) {};
    const Row rows[] = {
        {"listed, and to be followed", none, ReadKind::Linearizable, CopyAge::New, 0ms,
         RelayVerdict::Changes},
        {"store not heard for long", none, ReadKind::Linearizable, CopyAge::New, 3s,
         RelayVerdict::Unable},
        {"listed by a stale read", none, ReadKind::Stale, CopyAge::New, 0ms, RelayVerdict::Unable},
        {"listed now and then, which is enough for a stale read", none, ReadKind::Stale,
         CopyAge::Polled, 5s, RelayVerdict::Changes},
        {"listed too long ago", none, ReadKind::Stale, CopyAge::Polled, 7s, RelayVerdict::Unable},
        {"listed too long ago, while the store does not answer", none, ReadKind::Stale,
         CopyAge::Any, 7s, RelayVerdict::Changes},
        {"half of a listing",
         [](ChangeBoard &board) {
             store::StoreListing page{.status = store::StoreStatus::Ok, .revision = 6};
             page.items.push_back({.key = "up/a", .revision = 2});
             page.hasMore = true;
             board.addPage("up/", ReadKind::Linearizable, "", page, 0ns);
             board.extend("up/", 5, {.revision = 5});
         },
         ReadKind::Linearizable, CopyAge::New, 0ms, RelayVerdict::Unable},
        {"learnt from a neighbour",
         [](ChangeBoard &board) {
             board.learnListing("up/", {.status = store::StoreStatus::Ok, .revision = 6}, kStart);
         },
         ReadKind::Stale, CopyAge::Polled, 0ms, RelayVerdict::Unable},
        {"trouble",
         [](ChangeBoard &board) {
             board.extend("up/", 5, {.revision = 5});
             board.noteTrouble();
         },
         ReadKind::Linearizable, CopyAge::New, 0ms, RelayVerdict::Unable},
        {"a value too large to pass on",
         [](ChangeBoard &board) {
             store::StoreListing change{.status = store::StoreStatus::Ok, .revision = 6};
             change.items.push_back({.key = "up/b", .value = std::string(140000, 'x')});
             board.extend("up/", 5, change);
         },
         ReadKind::Linearizable, CopyAge::New, 0ms, RelayVerdict::AskStore},
    };
    for (const Row &row : rows) {
        ChangeBoard board;
        board.noteContact(kStart);
        board.addPage("up/", row.listed, "", {.status = store::StoreStatus::Ok, .revision = 5},
                      kStart);
        row.change(board);
        const RelayAnswer answer = board.copy("up/", row.allowed, kStart + row.age);
        cr_assert_eq(answer.verdict, row.verdict, "%s", row.name);
    }
}

Test(handover, many_who_start_together_do_not_fill_the_link_of_a_giver)
{
    constexpr std::size_t kBudget = 1024 * 1024;
    Neighbourhood all(20);
    for (int i = 0; i < 50; ++i) {
        all.store.put("up/" + std::to_string(i), std::string(1000, 'x'));
    }
    all.loop.advance(3s);
    RelayServer &giver = all.vms[indicesOf(all, true).front()]->server;
    std::size_t sent = 0;
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        giver.handle({.path = "/listing", .query = "prefix=up%2F&age=new"},
                     [&](const net::HttpAnswer &answer) {
                         const bool isRefusal =
                             parseRelayText(answer.body)->verdict == RelayVerdict::AskStore;
                         sent += isRefusal ? 0 : answer.body.size();
                         refused += isRefusal ? 1 : 0;
                     });
    }
    cr_assert_gt(sent, 0U);
    cr_assert_leq(sent, kBudget);
    cr_assert_gt(refused, 0);
}

Test(handover, questions_that_cannot_be_read_are_rejected)
{
    Neighbourhood all(8);
    const char *const rows[] = {"", "prefix=up%2F", "prefix=up%2F&age=", "prefix=up%2F&age=old",
                                "age=0"};
    for (const char *query : rows) {
        int status = 0;
        all.vms[0]->server.handle({.path = "/listing", .query = query},
                                  [&](const net::HttpAnswer &answer) { status = answer.status; });
        cr_assert_eq(status, 400, "%s", query);
    }
}
