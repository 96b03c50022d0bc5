#include "distribution/relaycodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::distribution;

Test(relaycodec, written_responses_are_parsed_back)
{
    cr_assert(rc::check([](std::uint64_t revision, const std::vector<std::string> &values) {
        RelayResponse response{.outcome = values.empty() ? RelayOutcome::NoChanges
                                                         : RelayOutcome::Changes};
        response.listing.revision = revision;
        response.age = std::chrono::milliseconds(revision % 100000);
        for (const std::string &value : values) {
            const bool isRemoval = value.empty();
            response.listing.items.push_back({.key = "k" + std::to_string(value.size()),
                                              .value = value,
                                              .revision = value.size() + 1,
                                              .createdRevision = isRemoval ? 0 : value.size(),
                                              .isRemoval = isRemoval});
        }
        const auto read = parseRelayText(relayText(response));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->outcome == response.outcome);
        RC_ASSERT(read->listing.revision == revision);
        RC_ASSERT(read->age == response.age);
        RC_ASSERT(read->listing.items.size() == values.size());
        for (std::size_t i = 0; i < values.size(); ++i) {
            const store::StoreItem &item = read->listing.items[i];
            RC_ASSERT(item.value == values[i]);
            RC_ASSERT(item.key == response.listing.items[i].key);
            RC_ASSERT(item.revision == response.listing.items[i].revision);
            RC_ASSERT(item.createdRevision == response.listing.items[i].createdRevision);
            RC_ASSERT(item.isRemoval == response.listing.items[i].isRemoval);
        }
    }));
}

Test(relaycodec, malformed_text_is_rejected)
{
    const char *const rows[] = {
        "",
        "[]",
        "{}",
        R"({"revision": "7", "askStore": false, "ageMs": 0, "changes": []})",
        R"({"revision": 7, "ageMs": 0, "changes": []})",
        R"({"revision": 7, "askStore": false, "changes": []})",
        R"({"revision": 7, "askStore": false, "ageMs": -1, "changes": []})",
        R"({"revision": 7, "askStore": false, "ageMs": "0", "changes": []})",
        R"({"revision": 7, "askStore": false, "ageMs": 0, "changes": {}})",
        R"({"revision": 7, "askStore": false, "ageMs": 0, "changes": [7]})",
        R"({"revision": 7, "askStore": false, "ageMs": 0, "changes": [{"key": "a", "revision": 1}]})",
        R"({"revision": 7, "askStore": false, "ageMs": 0,
            "changes": [{"key": "a", "revision": 1, "created": 1, "value": "%"}]})",
    };
    for (const char *row : rows) {
        cr_assert_not(parseRelayText(row).has_value(), "%s", row);
    }
}
