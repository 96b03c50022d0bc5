#include "upstreams/upstreamregistry.h"

#include "upstreams/types/upstreamrecord.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::upstreams;
using namespace std::chrono_literals;

namespace {
const UpstreamRegistry::TimePoint kStart{std::chrono::hours(1)};

Upstream upstream(std::uint64_t id, const char *service = "portal")
{
    return {.id = {id}, .service = ServiceName(service), .dataCentre = DataCentreName("obuda")};
}

//! Returns two identifiers with the same token, found by trying consecutive identifiers.
std::pair<std::uint64_t, std::uint64_t> collidingPair()
{
    std::map<std::uint32_t, std::uint64_t> seen;
    for (std::uint64_t id = 1;; ++id) {
        const auto [other, isNew] = seen.emplace(flowToken({id}), id);
        if (!isNew) {
            return {other->second, id};
        }
    }
}
}

Test(upstreamregistry, a_missing_entry_ends_an_upstream_if_the_store_is_stable_or_it_was_draining)
{
    struct Row
    {
        const char *name;
        bool draining;
        bool isStoreStable;
        Presence presence;
    };
    const Row rows[] = {
        {"store stable", false, true, Presence::Gone},
        {"store unstable", false, false, Presence::Doubtful},
        {"draining, store unstable", true, false, Presence::Gone},
    };
    for (const Row &row : rows) {
        UpstreamRegistry registry(60s);
        Upstream entry = upstream(1);
        entry.draining = row.draining;
        registry.update(entry, kStart);
        registry.remove({1}, row.isStoreStable, kStart + 1s);
        cr_assert_eq(registry.find({1})->presence, row.presence, "%s", row.name);
    }
}

Test(upstreamregistry, doubtful_upstreams_become_present_or_gone)
{
    UpstreamRegistry registry(60s);
    registry.update(upstream(1), kStart);
    registry.update(upstream(2), kStart);
    registry.remove({1}, false, kStart);
    registry.remove({2}, false, kStart);
    cr_assert(registry.find({1})->acceptsNewFlows());
    registry.update(upstream(1), kStart + 1s);
    const auto ended = registry.markDoubtfulAsGone(kStart + 2s);
    cr_assert_eq(ended.size(), 1U);
    cr_assert(registry.find({1})->acceptsNewFlows());
    cr_assert_not(registry.find({2})->acceptsNewFlows());
    cr_assert_not(registry.hasDoubtful());
}

Test(upstreamregistry, an_ended_upstream_keeps_its_token_for_the_retention_time)
{
    UpstreamRegistry registry(60s);
    registry.update(upstream(1), kStart);
    registry.remove({1}, true, kStart);
    registry.sweep(kStart + 60s);
    cr_assert_not_null(registry.findByToken(flowToken({1})));
    registry.sweep(kStart + 61s);
    cr_assert_null(registry.findByToken(flowToken({1})));
    cr_assert(registry.findByService(ServiceName("portal")).empty());
}

Test(upstreamregistry, all_vms_assign_a_token_to_the_same_of_two_upstreams)
{
    // Guards against resets of flows by a VM that assigns the token to another upstream, because it
    // started later, or received the entries in another order.
    const auto [first, second] = collidingPair();
    Upstream older = upstream(first);
    older.incarnation = 100;
    Upstream younger = upstream(second);
    younger.incarnation = 200;
    const Upstream olderWrittenAgain = older;
    struct Row
    {
        const char *name;
        std::vector<Upstream> received;
        bool isOlderRemoved;
        std::uint64_t holder;
    };
    const Row rows[] = {
        {"older received first", {older, younger}, false, first},
        {"younger received first", {younger, older}, false, first},
        {"entry of the older written again", {older, younger, olderWrittenAgain}, false, first},
        {"younger known before that", {younger, olderWrittenAgain}, false, first},
        {"older has ended, and this VM remembers it", {older, younger}, true, second},
        {"this VM never knew the older one", {younger}, false, second},
    };
    for (const Row &row : rows) {
        UpstreamRegistry registry(60s);
        for (const Upstream &entry : row.received) {
            registry.update(entry, kStart);
        }
        if (row.isOlderRemoved) {
            registry.remove({first}, true, kStart);
        }
        const UpstreamRecord *holder = registry.findByToken(flowToken({first}));
        cr_assert_eq(holder->upstream.id.value, row.holder, "%s", row.name);
        for (const std::uint64_t id : {first, second}) {
            const UpstreamRecord *record = registry.find({id});
            const bool isHolder = id == row.holder;
            cr_assert(record == nullptr || record->acceptsNewFlows() == isHolder, "%s", row.name);
        }
        registry.sweep(kStart + 61s);
        cr_assert_eq(registry.findByToken(flowToken({first}))->upstream.id.value, row.holder, "%s",
                     row.name);
    }
}

Test(upstreamregistry, an_upstream_whose_service_changes_moves_to_the_new_service)
{
    UpstreamRegistry registry(60s);
    registry.update(upstream(1, "portal"), kStart);
    registry.update(upstream(1, "intake"), kStart);
    cr_assert(registry.findByService(ServiceName("portal")).empty());
    cr_assert_eq(registry.findByService(ServiceName("intake")).size(), 1U);
}

Test(upstreamregistry, a_token_always_finds_an_upstream_with_that_token)
{
    cr_assert(rc::check([](const std::vector<std::uint16_t> &steps) {
        UpstreamRegistry registry(10s);
        auto now = kStart;
        for (const std::uint16_t step : steps) {
            const std::uint64_t id = step & 0xffU;
            const unsigned action = step >> 8U;
            now += 500ms;
            if (action % 3 == 0) {
                registry.remove({id + 1U}, action % 2 == 0, now);
            } else {
                registry.update(upstream(id + 1U, id % 2 == 0 ? "portal" : "intake"), now);
            }
            registry.sweep(now);
        }
        for (std::uint64_t id = 1; id <= 256; ++id) {
            const UpstreamRecord *record = registry.findByToken(flowToken({id}));
            const bool isSameToken =
                record == nullptr || flowToken(record->upstream.id) == flowToken({id});
            RC_ASSERT(isSameToken);
        }
    }));
}
