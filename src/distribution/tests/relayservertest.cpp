#include "distribution/relayserver.h"

#include "distribution/changecache.h"
#include "distribution/relaycodec.h"
#include "distribution/types/relayresponse.h"
#include "global/manualclock.h"
#include "net/types/httprequest.h"
#include "net/types/httpresponse.h"
#include "store/types/readkind.h"

#include <criterion/criterion.h>
#include <random>

using namespace radishladder;
using namespace radishladder::distribution;
using namespace std::chrono_literals;

namespace {
//! A relay and the responses that it has sent.
struct RelayFixture
{
    void request(const std::string &path, const std::string &query)
    {
        this->server.handle(
            {.path = path, .query = query},
            [this](const net::HttpResponse &response) { this->responses.push_back(response); });
    }

    //! The relay lists one item with \a value from the store.
    void list(const std::string &value)
    {
        store::StoreListing page{.status = store::StoreStatus::Ok, .revision = 5};
        page.items.push_back({.key = "up/a", .value = value, .revision = 5});
        const auto now = this->clock.timeSinceBoot();
        this->cache.addPage("up/", store::ReadKind::Linearizable, "", page, now, now);
    }

    //! The store reports a change of one item to \a value.
    void change(const std::string &value)
    {
        store::StoreListing changes{.status = store::StoreStatus::Ok, .revision = 6};
        changes.items.push_back({.key = "up/b", .value = value, .revision = 6});
        this->cache.addChanges("up/", 5, changes, this->clock.timeSinceBoot());
    }

    ManualClock clock;
    ChangeCache cache;
    RelayServer server{this->cache, this->clock};
    std::vector<net::HttpResponse> responses;
};

std::string incompressible(std::size_t bytes)
{
    std::mt19937 random(1);
    std::string text;
    for (std::size_t i = 0; i < bytes; ++i) {
        text.push_back(static_cast<char>(random()));
    }
    return text;
}
}

Test(relayserver, a_response_never_takes_more_of_the_link_than_allowed)
{
    constexpr std::size_t kMaxChangesBytes = 128 * 1024;
    constexpr std::size_t kMaxListingBytes = 1024 * 1024;
    const std::string changesQuery = "prefix=up%2F&after=5&wait_ms=1000";
    const std::string listingQuery = "prefix=up%2F&age=new";
    struct Row
    {
        const char *name;
        std::string path;
        std::string query;
        std::string value;
        std::size_t maxBytes;
        RelayOutcome outcome;
    };
    const Row rows[] = {
        {"small change", "/changes", changesQuery, "here", kMaxChangesBytes, RelayOutcome::Changes},
        {"large change of a peer that accepts no compressed responses", "/changes", changesQuery,
         std::string(140000, 'x'), kMaxChangesBytes, RelayOutcome::QueryStore},
        {"large change that compresses well", "/changes", changesQuery + "&encoding=deflate",
         std::string(140000, 'x'), kMaxChangesBytes, RelayOutcome::Changes},
        {"large change that doesn't", "/changes", changesQuery + "&encoding=deflate",
         incompressible(140000), kMaxChangesBytes, RelayOutcome::QueryStore},
        {"listing that compresses well", "/listing", listingQuery + "&encoding=deflate",
         std::string(1200000, 'x'), kMaxListingBytes, RelayOutcome::Changes},
        {"large listing that doesn't", "/listing", listingQuery + "&encoding=deflate",
         incompressible(1200000), kMaxListingBytes, RelayOutcome::QueryStore},
        {"large listing for a peer that accepts no compressed responses", "/listing", listingQuery,
         std::string(1200000, 'x'), kMaxListingBytes, RelayOutcome::QueryStore},
    };
    for (const Row &row : rows) {
        RelayFixture f;
        f.list("");
        f.change(row.value);
        f.request(row.path, row.query);
        cr_assert_eq(f.responses.size(), 1U, "%s", row.name);
        const auto response = parseRelayBody(f.responses[0].body);
        cr_assert(response.has_value(), "%s", row.name);
        cr_assert_eq(response->outcome, row.outcome, "%s", row.name);
        cr_assert_leq(f.responses[0].body.size(), row.maxBytes, "%s", row.name);
    }
}

Test(relayserver, a_peer_that_starts_together_with_its_relay_gets_the_listing_as_soon_as_it_exists)
{
    struct Row
    {
        const char *name;
        const char *age;
        std::chrono::milliseconds listedAfter;
        int status;
        std::size_t responsesBefore;
    };
    const Row rows[] = {
        {"listed in time", "new", 60ms, 200, 0},
        {"listed too late: the peer queries the store", "new", 300ms, 502, 0},
        {"only waits for new listings", "any", 60ms, 502, 1},
        {"a periodic listing is repeated anyway", "polled", 60ms, 502, 1},
    };
    for (const Row &row : rows) {
        RelayFixture f;
        f.request("/listing", std::string("prefix=up%2F&age=") + row.age);
        cr_assert_eq(f.responses.size(), row.responsesBefore, "%s", row.name);
        f.clock.advance(row.listedAfter);
        f.server.tick();
        f.list("here");
        cr_assert_eq(f.responses.size(), 1U, "%s", row.name);
        cr_assert_eq(f.responses[0].status, row.status, "%s", row.name);
    }
}

Test(relayserver, peers_with_equal_requests_get_equal_bodies_and_others_their_own)
{
    RelayFixture f;
    f.list(std::string(10000, 'x'));
    for (int i = 0; i < 2; ++i) {
        f.request("/listing", "prefix=up%2F&age=new&encoding=deflate");
        f.request("/listing", "prefix=up%2F&age=new");
    }
    f.change("y");
    f.request("/listing", "prefix=up%2F&age=new&encoding=deflate");
    f.request("/changes", "prefix=up%2F&after=5&wait_ms=0");
    const std::size_t items[] = {1, 1, 1, 1, 2, 1};
    cr_assert_eq(f.responses.size(), 6U);
    cr_assert(f.responses[0].body == f.responses[2].body);
    cr_assert(f.responses[1].body == f.responses[3].body);
    cr_assert_lt(f.responses[0].body.size() * 10, f.responses[1].body.size());
    for (std::size_t i = 0; i < f.responses.size(); ++i) {
        cr_assert_eq(parseRelayBody(f.responses[i].body)->listing.items.size(), items[i]);
    }
}
