#include "upstreams/upstreamupdater.h"

#include "global/manualclock.h"
#include "telemetry/ieventlog.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::upstreams;
using namespace std::chrono_literals;

namespace {
class NoLog : public telemetry::IEventLog
{
public:
    bool accepts(telemetry::LogKind) override { return false; }
    void write(const telemetry::LogEntry &) override { }
};

std::vector<Upstream> upstreamsUpTo(std::uint64_t count)
{
    std::vector<Upstream> all;
    for (std::uint64_t id = 1; id <= count; ++id) {
        all.push_back({.id = {id}, .service = ServiceName("portal")});
    }
    return all;
}

Upstream upstreamWithId(std::uint64_t id)
{
    return {.id = {id}, .service = ServiceName("portal")};
}

std::vector<Upstream> upstreamsWithout(std::uint64_t id)
{
    std::vector<Upstream> all = upstreamsUpTo(10);
    std::erase_if(all, [id](const Upstream &upstream) { return upstream.id.value == id; });
    return all;
}

struct Fixture
{
    ManualClock clock;
    NoLog log;
    UpstreamRegistry registry{60s};
    UpstreamUpdater updater{this->registry, this->clock, this->log};

    Fixture()
    {
        this->updater.onUpstreamsListed(upstreamsUpTo(10));
        this->clock.advance(10s);
    }

    //! The store confirms the listing, and the updater acts on it.
    void confirm()
    {
        this->updater.onUpToDate(this->clock.now());
        this->updater.tick();
    }

    Presence presence(std::uint64_t id) { return this->registry.find({id})->presence; }
};
}

Test(upstreamupdater, an_upstream_whose_entry_is_removed_from_a_stable_store_is_gone)
{
    Fixture f;
    f.updater.onUpstreamRemoved({3});
    cr_assert_eq(f.presence(3), Presence::Gone);
}

Test(upstreamupdater,
     entries_that_expire_in_a_store_outage_stay_doubtful_for_two_seconds_after_recovery)
{
    Fixture f;
    f.updater.onConnectionLost("refused");
    f.clock.advance(6s);
    f.updater.tick();
    f.updater.onConnectionRestored();
    for (std::uint64_t id = 1; id <= 10; ++id) {
        f.updater.onUpstreamRemoved({id});
    }
    f.clock.advance(1900ms);
    f.updater.tick();
    cr_assert_eq(f.presence(1), Presence::Doubtful);
    f.updater.onUpstreamChanged(upstreamsUpTo(1)[0]);
    f.clock.advance(500ms);
    f.confirm();
    cr_assert_eq(f.presence(1), Presence::Present);
    cr_assert_eq(f.presence(2), Presence::Gone);
}

Test(upstreamupdater, a_mass_removal_of_entries_makes_upstreams_doubtful)
{
    Fixture f;
    f.updater.onUpstreamsListed({});
    cr_assert_eq(f.presence(1), Presence::Doubtful);
    f.clock.advance(2400ms);
    f.confirm();
    cr_assert_eq(f.presence(1), Presence::Gone);
}

Test(upstreamupdater, a_rejected_entry_keeps_new_flows_away_from_its_own_upstream_only)
{
    // Guards against resets of open flows on a live upstream whose entry another writer has
    // replaced: an invalid entry names no upstream to use, but does not show that one has ended.
    struct Row
    {
        const char *name;
        void (*next)(Fixture &f);
        Presence presence;
        bool acceptsNewFlows;
    };
    const Row rows[] = {
        {"invalid", [](Fixture &) {}, Presence::Present, false},
        {"invalid again", [](Fixture &f) { f.updater.onUpstreamRejected("up/4", {4}, "state"); },
         Presence::Present, false},
        {"listed as invalid",
         [](Fixture &f) {
             f.updater.onListingBegins();
             f.updater.onUpstreamRejected("up/4", {4}, "state");
             f.updater.onUpstreamsListed(upstreamsWithout(4));
         },
         Presence::Present, false},
        {"valid again", [](Fixture &f) { f.updater.onUpstreamChanged(upstreamWithId(4)); },
         Presence::Present, true},
        {"removed", [](Fixture &f) { f.updater.onUpstreamRemoved({4}); }, Presence::Gone, false},
        {"not listed any more",
         [](Fixture &f) {
             f.updater.onListingBegins();
             f.updater.onUpstreamsListed(upstreamsWithout(4));
         },
         Presence::Gone, false},
    };
    for (const Row &row : rows) {
        Fixture f;
        f.clock.advance(5s);
        f.confirm();
        f.updater.onUpstreamRejected("up/4", {4}, "state");
        row.next(f);
        cr_expect_eq(f.presence(4), row.presence, "%s", row.name);
        cr_expect_eq(f.registry.find({4})->acceptsNewFlows(), row.acceptsNewFlows, "%s", row.name);
        cr_expect_eq(f.presence(5), Presence::Present, "%s", row.name);
        cr_expect(f.registry.find({5})->acceptsNewFlows(), "%s", row.name);
    }
}

Test(upstreamupdater, the_registry_is_unreliable_as_soon_as_the_connection_is_lost)
{
    Fixture f;
    f.clock.advance(5s);
    f.confirm();
    cr_assert(f.registry.isReliable());
    f.updater.onConnectionLost("no answer");
    cr_assert_not(f.registry.isReliable());
}

Test(upstreamupdater, the_registry_records_when_the_store_last_confirmed_it)
{
    Fixture f;
    f.clock.advance(5s);
    f.updater.onUpToDate(f.clock.now());
    f.updater.onUpToDate(f.clock.now() - 1s);
    cr_assert(f.registry.confirmedAt() == f.clock.now());
}

Test(upstreamupdater, a_mass_removal_is_measured_against_the_upstreams_before_it)
{
    // Of ten upstreams, each of the first four that end one by one is less than half.
    Fixture f;
    for (std::uint64_t id = 1; id <= 4; ++id) {
        f.updater.onUpstreamRemoved({id});
        cr_assert_eq(f.presence(id), Presence::Gone, "upstream %lu", id);
    }
    f.updater.onUpstreamRemoved({5});
    cr_assert_eq(f.presence(5), Presence::Doubtful);
}

Test(upstreamupdater, doubtful_upstreams_end_only_by_a_listing_that_includes_their_reregistration)
{
    // Guards against a watch that pauses or hangs while upstreams write their entries again: two
    // seconds after the recovery the entries exist, but this VM hasn't received them.
    struct Row
    {
        const char *name;
        std::chrono::milliseconds confirmedAfter; //!< relative to the recovery
        Presence presence;
    };
    const Row rows[] = {
        {"not confirmed since", -1ms, Presence::Doubtful},
        {"confirmed while upstreams still wrote their entries", 1500ms, Presence::Doubtful},
        {"confirmed after that", 2400ms, Presence::Gone},
    };
    for (const Row &row : rows) {
        Fixture f;
        f.updater.onConnectionLost("no response");
        f.clock.advance(6s);
        f.updater.onConnectionRestored();
        const auto restoredAt = f.clock.now();
        f.updater.onUpstreamRemoved({1});
        f.updater.onUpToDate(restoredAt + row.confirmedAfter);
        f.clock.advance(2500ms);
        const bool isAwaited = row.presence == Presence::Doubtful;
        cr_assert_eq(f.updater.needsConfirmation(), isAwaited, "%s", row.name);
        f.updater.tick();
        cr_assert_eq(f.presence(1), row.presence, "%s", row.name);
        cr_assert_eq(f.registry.isReliable(), !isAwaited, "%s", row.name);
    }
}
