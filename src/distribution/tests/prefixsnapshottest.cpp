#include "distribution/prefixsnapshot.h"

#include "store/types/storelisting.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;

namespace {
store::StoreItem item(const char *key, std::uint64_t revision, bool isRemoval = false)
{
    return {.key = key, .value = "v", .revision = revision, .isRemoval = isRemoval};
}

store::StoreListing response(std::uint64_t revision, std::vector<store::StoreItem> items,
                             bool hasMore = false)
{
    return {.status = store::StoreStatus::Ok,
            .items = std::move(items),
            .revision = revision,
            .hasMore = hasMore};
}

std::string keysOf(const PrefixSnapshot &snapshot)
{
    const auto listing = snapshot.listing();
    std::string keys;
    for (const store::StoreItem &item :
         listing ? listing->items : std::vector<store::StoreItem>()) {
        keys += item.key;
    }
    return listing ? keys : "none";
}
}

Test(prefixsnapshot, contains_the_items_of_pages_and_changes)
{
    struct Row
    {
        const char *name;
        void (*update)(PrefixSnapshot &);
        const char *keys;
        std::uint64_t revision;
    };
    const Row rows[] = {
        {"nothing received", [](PrefixSnapshot &) {}, "none", 0},
        {"an empty prefix", [](PrefixSnapshot &snapshot) { snapshot.addPage("", response(5, {})); },
         "", 5},
        {"half of a listing",
         [](PrefixSnapshot &snapshot) { snapshot.addPage("", response(5, {item("a", 2)}, true)); },
         "none", 0},
        {"two pages, watched from the first",
         [](PrefixSnapshot &snapshot) {
             snapshot.addPage("", response(5, {item("a", 2)}, true));
             snapshot.addPage("a", response(9, {item("b", 7)}));
         },
         "ab", 5},
        {"a change that a later page contains is received again",
         [](PrefixSnapshot &snapshot) {
             snapshot.addPage("", response(5, {item("a", 2)}, true));
             snapshot.addPage("a", response(9, {item("b", 7)}));
             snapshot.applyChanges(5, response(8, {item("b", 6), item("b", 7)}));
         },
         "ab", 8},
        {"an item removed between two pages",
         [](PrefixSnapshot &snapshot) {
             snapshot.addPage("", response(5, {item("a", 2)}, true));
             snapshot.addPage("a", response(9, {item("b", 7)}));
             snapshot.applyChanges(5, response(9, {item("a", 6, true)}));
         },
         "b", 9},
        {"a gap",
         [](PrefixSnapshot &snapshot) {
             snapshot.addPage("", response(5, {item("a", 2)}));
             snapshot.applyChanges(6, response(9, {item("b", 7)}));
         },
         "none", 0},
        {"listed again after a gap",
         [](PrefixSnapshot &snapshot) {
             snapshot.addPage("", response(5, {item("a", 2)}));
             snapshot.applyChanges(6, response(9, {item("b", 7)}));
             snapshot.addPage("", response(12, {item("c", 11)}));
         },
         "c", 12},
    };
    for (const Row &row : rows) {
        PrefixSnapshot snapshot;
        row.update(snapshot);
        cr_assert(keysOf(snapshot) == row.keys, "%s", row.name);
        const auto listing = snapshot.listing();
        cr_assert_eq(listing ? listing->revision : 0, row.revision, "%s", row.name);
    }
}
