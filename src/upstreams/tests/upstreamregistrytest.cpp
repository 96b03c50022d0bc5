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

Upstream upstream(std::uint64_t id, const char *service = "portal", std::uint64_t created = 1)
{
    return {.id = {id},
            .service = ServiceName(service),
            .dataCentre = DataCentreName("obuda"),
            .createdRevision = created};
}

//! Two identifiers with one token, found by counting up.
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

Test(upstreamregistry, a_missing_entry_ends_an_upstream_only_if_that_proves_it)
{
    struct Row
    {
        const char *name;
        bool draining;
        bool storeStable;
        Presence presence;
    };
    const Row rows[] = {
        {"store stable", false, true, Presence::Gone},
        {"store unstable", false, false, Presence::Doubtful},
        {"announced, store unstable", true, false, Presence::Gone},
    };
    for (const Row &row : rows) {
        UpstreamRegistry registry(60s);
        Upstream entry = upstream(1);
        entry.draining = row.draining;
        registry.update(entry, kStart);
        registry.remove({1}, row.storeStable, kStart + 1s);
        cr_assert_eq(registry.find({1})->presence, row.presence, "%s", row.name);
    }
}

Test(upstreamregistry, doubtful_upstreams_return_or_end)
{
    UpstreamRegistry registry(60s);
    registry.update(upstream(1), kStart);
    registry.update(upstream(2), kStart);
    registry.remove({1}, false, kStart);
    registry.remove({2}, false, kStart);
    cr_assert(registry.find({1})->takesNewFlows());
    registry.update(upstream(1), kStart + 1s);
    const auto ended = registry.confirmGone(kStart + 2s);
    cr_assert_eq(ended.size(), 1U);
    cr_assert(registry.find({1})->takesNewFlows());
    cr_assert_not(registry.find({2})->takesNewFlows());
    cr_assert_not(registry.hasDoubtful());
}

Test(upstreamregistry, an_ended_upstream_keeps_its_token_for_its_flows)
{
    UpstreamRegistry registry(60s);
    registry.update(upstream(1), kStart);
    registry.remove({1}, true, kStart);
    registry.sweep(kStart + 60s);
    cr_assert_not_null(registry.findByToken(flowToken({1})));
    registry.sweep(kStart + 61s);
    cr_assert_null(registry.findByToken(flowToken({1})));
    cr_assert(registry.ofService(ServiceName("portal")).empty());
}

Test(upstreamregistry, of_two_upstreams_with_one_token_the_older_takes_new_flows)
{
    const auto [first, second] = collidingPair();
    for (const bool olderFirst : {true, false}) {
        UpstreamRegistry registry(60s);
        const Upstream older = upstream(first, "portal", 5);
        const Upstream younger = upstream(second, "portal", 9);
        registry.update(olderFirst ? older : younger, kStart);
        registry.update(olderFirst ? younger : older, kStart);
        cr_assert(registry.find({first})->takesNewFlows());
        cr_assert_not(registry.find({second})->takesNewFlows());
        cr_assert_eq(registry.findByToken(flowToken({first}))->upstream.id.value, first);
        registry.remove({first}, true, kStart);
        registry.sweep(kStart + 61s);
        cr_assert(registry.find({second})->takesNewFlows());
        cr_assert_eq(registry.findByToken(flowToken({first}))->upstream.id.value, second);
    }
}

Test(upstreamregistry, a_reused_identifier_moves_to_its_new_service)
{
    UpstreamRegistry registry(60s);
    registry.update(upstream(1, "portal"), kStart);
    registry.update(upstream(1, "intake"), kStart);
    cr_assert(registry.ofService(ServiceName("portal")).empty());
    cr_assert_eq(registry.ofService(ServiceName("intake")).size(), 1U);
}

Test(upstreamregistry, a_token_always_names_the_upstream_it_was_made_for)
{
    rc::check([](const std::vector<std::uint16_t> &steps) {
        UpstreamRegistry registry(10s);
        auto now = kStart;
        for (const std::uint16_t step : steps) {
            const std::uint64_t id = step & 0xffU;
            const unsigned what = step >> 8U;
            now += 500ms;
            if (what % 3 == 0) {
                registry.remove({id + 1U}, what % 2 == 0, now);
            } else {
                registry.update(upstream(id + 1U, id % 2 == 0 ? "portal" : "intake"), now);
            }
            registry.sweep(now);
        }
        for (std::uint64_t id = 1; id <= 256; ++id) {
            const UpstreamRecord *record = registry.findByToken(flowToken({id}));
            const bool isRight =
                record == nullptr || flowToken(record->upstream.id) == flowToken({id});
            RC_ASSERT(isRight);
        }
    });
}
