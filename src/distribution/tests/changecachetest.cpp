#include "distribution/changecache.h"

#include "distribution/types/relayresponse.h"
#include "distribution/types/snapshotage.h"
#include "store/types/readkind.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
constexpr ChangeCache::BootTime kStart{1h};

store::StoreListing changes(std::uint64_t revision, std::size_t valueBytes = 10)
{
    store::StoreListing listing{.status = store::StoreStatus::Ok, .revision = revision};
    listing.items.push_back(
        {.key = "up/a", .value = std::string(valueBytes, 'x'), .revision = revision});
    return listing;
}
}

Test(changecache, serves_only_changes_without_a_gap)
{
    struct Row
    {
        const char *name;
        void (*change)(ChangeCache &);
        std::uint64_t after;
        std::chrono::milliseconds age;
        RelayOutcome outcome;
    };
    const auto none = [](ChangeCache &) {};
    const Row rows[] = {
        {"change", none, 10, 0ms, RelayOutcome::Changes},
        {"up to date", none, 12, 0ms, RelayOutcome::NoChanges},
        {"ahead of this VM", none, 15, 0ms, RelayOutcome::NoChanges},
        {"older than the change log", none, 9, 0ms, RelayOutcome::Unavailable},
        {"no response of the store for long", none, 12, 3s, RelayOutcome::Unavailable},
        {"trouble", [](ChangeCache &cache) { cache.recordStoreLost(); }, 12, 0ms,
         RelayOutcome::Unavailable},
        {"after an outage the store responds to renewals, and changes may have been missed",
         [](ChangeCache &cache) {
             cache.recordStoreLost();
             cache.recordResponse(kStart);
         },
         12, 0ms, RelayOutcome::Unavailable},
        {"after an outage the store has responded to a watch",
         [](ChangeCache &cache) {
             cache.recordStoreLost();
             cache.recordResponse(kStart);
             cache.addChanges("up/", 12, changes(13), kStart);
         },
         13, 0ms, RelayOutcome::NoChanges},
        {"the watch gets no response, and renewals do",
         [](ChangeCache &cache) { cache.recordResponse(kStart + 13s); }, 12, 13s,
         RelayOutcome::Unavailable},
        {"the watch gets no response for a moment, and renewals do",
         [](ChangeCache &cache) { cache.recordResponse(kStart + 5s); }, 12, 5s,
         RelayOutcome::NoChanges},
        {"only the watch of another prefix gets responses",
         [](ChangeCache &cache) {
             cache.recordResponse(kStart + 13s);
             cache.addChanges("down/", 3, changes(13), kStart + 13s);
         },
         12, 13s, RelayOutcome::Unavailable},
        {"watches through a relay itself", [](ChangeCache &cache) { cache.stopRelaying("up/"); },
         12, 0ms, RelayOutcome::Unavailable},
        {"listed again",
         [](ChangeCache &cache) { cache.addChanges("up/", 20, changes(21), kStart); }, 12, 0ms,
         RelayOutcome::Unavailable},
    };
    for (const Row &row : rows) {
        ChangeCache cache;
        cache.recordResponse(kStart);
        cache.addChanges("up/", 10, changes(12), kStart);
        row.change(cache);
        const RelayResponse response = cache.changesAfter("up/", row.after, kStart + row.age);
        cr_assert_eq(response.outcome, row.outcome, "%s", row.name);
        cr_assert_eq(response.listing.items.size(), row.outcome == RelayOutcome::Changes ? 1U : 0U,
                     "%s", row.name);
    }
}

Test(changecache, memory_stays_bounded_and_the_newest_changes_are_kept)
{
    ChangeCache cache;
    cache.recordResponse(kStart);
    for (std::uint64_t revision = 1; revision <= 5000; ++revision) {
        cache.addChanges("up/", revision - 1, changes(revision, 100), kStart);
    }
    cr_assert_eq(cache.changesAfter("up/", 0, kStart).outcome, RelayOutcome::Unavailable);
    cr_assert_eq(cache.changesAfter("up/", 4500, kStart).listing.items.size(), 500U);
}

Test(changecache, waiting_peers_are_notified_when_a_prefix_is_listed_or_no_longer_watched)
{
    struct Row
    {
        const char *name;
        void (*change)(ChangeCache &);
    };
    const Row rows[] = {
        {"listed from the store",
         [](ChangeCache &cache) {
             cache.addPage("up/", store::ReadKind::Linearizable, "", changes(13), kStart, kStart);
         }},
        {"listed through a relay, which serves the peers instead",
         [](ChangeCache &cache) { cache.addRelayedListing("up/", changes(13), kStart); }},
        {"watched through a relay", [](ChangeCache &cache) { cache.stopRelaying("up/"); }},
        {"store lost", [](ChangeCache &cache) { cache.recordStoreLost(); }},
    };
    for (const Row &row : rows) {
        ChangeCache cache;
        cache.addChanges("up/", 10, changes(12), kStart);
        int notifications = 0;
        cache.setChangeListener([&notifications]() { ++notifications; });
        row.change(cache);
        cr_assert_eq(notifications, 1, "%s", row.name);
    }
}

Test(changecache, the_age_of_a_response_is_that_of_its_own_prefix)
{
    // Guards against a relay whose watch of one prefix hangs: responses to other calls say nothing
    // about that prefix.
    struct Row
    {
        const char *name;
        void (*change)(ChangeCache &);
        std::chrono::milliseconds age;
    };
    const Row rows[] = {
        {"no further response", [](ChangeCache &) {}, 2000ms},
        {"renewal", [](ChangeCache &cache) { cache.recordResponse(kStart + 2s); }, 2000ms},
        {"watch of another prefix",
         [](ChangeCache &cache) { cache.addChanges("down/", 3, changes(13), kStart + 2s); },
         2000ms},
        {"watch without changes",
         [](ChangeCache &cache) { cache.addChanges("up/", 12, {.revision = 12}, kStart + 1500ms); },
         500ms},
    };
    for (const Row &row : rows) {
        ChangeCache cache;
        cache.recordResponse(kStart);
        cache.addPage("up/", store::ReadKind::Linearizable, "", changes(12), kStart, kStart);
        row.change(cache);
        const RelayResponse response = cache.changesAfter("up/", 12, kStart + 2s);
        cr_assert_eq(response.outcome, RelayOutcome::NoChanges, "%s", row.name);
        cr_assert_eq(response.age.count(), row.age.count(), "%s", row.name);
        cr_assert_eq(cache.snapshot("up/", SnapshotAge::Any, kStart + 2s).age.count(),
                     row.age.count(), "%s", row.name);
    }
}
