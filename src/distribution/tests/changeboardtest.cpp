#include "distribution/changeboard.h"

#include "distribution/types/relayanswer.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
constexpr ChangeBoard::BootTime kStart{1h};

store::StoreListing changes(std::uint64_t revision, std::size_t valueBytes = 10)
{
    store::StoreListing listing{.status = store::StoreStatus::Ok, .revision = revision};
    listing.items.push_back(
        {.key = "up/a", .value = std::string(valueBytes, 'x'), .revision = revision});
    return listing;
}
}

Test(changeboard, tells_only_what_it_knows_without_a_gap)
{
    struct Row
    {
        const char *name;
        void (*change)(ChangeBoard &);
        std::uint64_t after;
        std::chrono::milliseconds age;
        RelayVerdict verdict;
    };
    const auto none = [](ChangeBoard &) {};
    const Row rows[] = {
        {"change", none, 10, 0ms, RelayVerdict::Changes},
        {"up to date", none, 12, 0ms, RelayVerdict::Nothing},
        {"ahead of this VM", none, 15, 0ms, RelayVerdict::Nothing},
        {"older than what is kept", none, 9, 0ms, RelayVerdict::Unable},
        {"store not heard for long", none, 12, 3s, RelayVerdict::Unable},
        {"trouble", [](ChangeBoard &b) { b.noteTrouble(); }, 12, 0ms, RelayVerdict::Unable},
        {"the store answers renewals after trouble, and changes may have been missed",
         [](ChangeBoard &b) {
             b.noteTrouble();
             b.noteContact(kStart);
         },
         12, 0ms, RelayVerdict::Unable},
        {"the store has told of changes after trouble",
         [](ChangeBoard &b) {
             b.noteTrouble();
             b.noteContact(kStart);
             b.extend("up/", 12, changes(13));
         },
         13, 0ms, RelayVerdict::Nothing},
        {"follows a neighbour itself", [](ChangeBoard &b) { b.forget("up/"); }, 12, 0ms,
         RelayVerdict::Unable},
        {"large value", [](ChangeBoard &b) { b.extend("up/", 12, changes(13, 132000)); }, 10, 0ms,
         RelayVerdict::AskStore},
        {"listed anew", [](ChangeBoard &b) { b.extend("up/", 20, changes(21)); }, 12, 0ms,
         RelayVerdict::Unable},
    };
    for (const Row &row : rows) {
        ChangeBoard board;
        board.noteContact(kStart);
        board.extend("up/", 10, changes(12));
        row.change(board);
        const RelayAnswer answer = board.answer("up/", row.after, kStart + row.age);
        cr_assert_eq(answer.verdict, row.verdict, "%s", row.name);
        cr_assert_eq(answer.listing.items.size(), row.verdict == RelayVerdict::Changes ? 1U : 0U,
                     "%s", row.name);
    }
}

Test(changeboard, memory_stays_bounded_and_the_newest_changes_stay)
{
    ChangeBoard board;
    board.noteContact(kStart);
    for (std::uint64_t revision = 1; revision <= 5000; ++revision) {
        board.extend("up/", revision - 1, changes(revision, 100));
    }
    cr_assert_eq(board.answer("up/", 0, kStart).verdict, RelayVerdict::Unable);
    cr_assert_eq(board.answer("up/", 4500, kStart).listing.items.size(), 500U);
}
