#include "distribution/prefixcopy.h"

#include "store/types/storelisting.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::distribution;

namespace {
store::StoreItem item(const char *key, std::uint64_t revision, bool isRemoval = false)
{
    return {.key = key, .value = "v", .revision = revision, .isRemoval = isRemoval};
}

store::StoreListing answer(std::uint64_t revision, std::vector<store::StoreItem> items,
                           bool hasMore = false)
{
    return {.status = store::StoreStatus::Ok,
            .items = std::move(items),
            .revision = revision,
            .hasMore = hasMore};
}

std::string keysOf(const PrefixCopy &copy)
{
    const auto listing = copy.listing();
    std::string keys;
    for (const store::StoreItem &item :
         listing ? listing->items : std::vector<store::StoreItem>()) {
        keys += item.key;
    }
    return listing ? keys : "none";
}
}

Test(prefixcopy, holds_what_pages_and_changes_say)
{
    struct Row
    {
        const char *name;
        void (*hear)(PrefixCopy &);
        const char *keys;
        std::uint64_t revision;
    };
    const Row rows[] = {
        {"nothing heard", [](PrefixCopy &) {}, "none", 0},
        {"an empty prefix", [](PrefixCopy &c) { c.addPage("", answer(5, {})); }, "", 5},
        {"half of a listing", [](PrefixCopy &c) { c.addPage("", answer(5, {item("a", 2)}, true)); },
         "none", 0},
        {"two pages, followed from the first",
         [](PrefixCopy &c) {
             c.addPage("", answer(5, {item("a", 2)}, true));
             c.addPage("a", answer(9, {item("b", 7)}));
         },
         "ab", 5},
        {"a change that a later page showed is heard again",
         [](PrefixCopy &c) {
             c.addPage("", answer(5, {item("a", 2)}, true));
             c.addPage("a", answer(9, {item("b", 7)}));
             c.extend(5, answer(8, {item("b", 6), item("b", 7)}));
         },
         "ab", 8},
        {"an item that went between two pages",
         [](PrefixCopy &c) {
             c.addPage("", answer(5, {item("a", 2)}, true));
             c.addPage("a", answer(9, {item("b", 7)}));
             c.extend(5, answer(9, {item("a", 6, true)}));
         },
         "b", 9},
        {"a gap",
         [](PrefixCopy &c) {
             c.addPage("", answer(5, {item("a", 2)}));
             c.extend(6, answer(9, {item("b", 7)}));
         },
         "none", 0},
        {"listed anew after a gap",
         [](PrefixCopy &c) {
             c.addPage("", answer(5, {item("a", 2)}));
             c.extend(6, answer(9, {item("b", 7)}));
             c.addPage("", answer(12, {item("c", 11)}));
         },
         "c", 12},
    };
    for (const Row &row : rows) {
        PrefixCopy copy;
        row.hear(copy);
        cr_assert(keysOf(copy) == row.keys, "%s", row.name);
        const auto listing = copy.listing();
        cr_assert_eq(listing ? listing->revision : 0, row.revision, "%s", row.name);
    }
}
