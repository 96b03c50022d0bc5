#include "upstreams/upstreamkeeper.h"

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

std::vector<Upstream> fleet(std::uint64_t count)
{
    std::vector<Upstream> all;
    for (std::uint64_t id = 1; id <= count; ++id) {
        all.push_back({.id = {id}, .service = ServiceName("portal")});
    }
    return all;
}

struct Fixture
{
    ManualClock clock;
    NoLog log;
    UpstreamRegistry registry{60s};
    UpstreamKeeper keeper{this->registry, this->clock, this->log};

    Fixture()
    {
        this->keeper.onUpstreams(fleet(10));
        this->clock.advance(10s);
    }

    Presence presence(std::uint64_t id) { return this->registry.find({id})->presence; }
};
}

Test(upstreamkeeper, a_single_entry_that_goes_from_a_stable_store_is_an_end)
{
    Fixture f;
    f.keeper.onUpstreamRemoved({3});
    cr_assert_eq(f.presence(3), Presence::Gone);
}

Test(upstreamkeeper, entries_that_lapse_with_the_store_away_stay_for_two_seconds_after_its_return)
{
    Fixture f;
    f.keeper.onContactLost("refused");
    f.clock.advance(6s);
    f.keeper.tick();
    f.keeper.onContactRegained();
    for (std::uint64_t id = 1; id <= 10; ++id) {
        f.keeper.onUpstreamRemoved({id});
    }
    f.clock.advance(1900ms);
    f.keeper.tick();
    cr_assert_eq(f.presence(1), Presence::Doubtful);
    f.keeper.onUpstream(fleet(1)[0]);
    f.clock.advance(500ms);
    f.keeper.tick();
    cr_assert_eq(f.presence(1), Presence::Present);
    cr_assert_eq(f.presence(2), Presence::Gone);
}

Test(upstreamkeeper, most_entries_going_at_once_is_doubted)
{
    Fixture f;
    f.keeper.onUpstreams({});
    cr_assert_eq(f.presence(1), Presence::Doubtful);
    f.clock.advance(2400ms);
    f.keeper.tick();
    cr_assert_eq(f.presence(1), Presence::Gone);
}

Test(upstreamkeeper, a_rejected_entry_names_no_upstream_and_the_others_hold)
{
    Fixture f;
    f.keeper.onUpstreamRejected("up/4", {4}, "state");
    cr_assert_eq(f.presence(4), Presence::Gone);
    cr_assert_eq(f.presence(5), Presence::Present);
}

Test(upstreamkeeper, trust_ends_with_the_contact_and_not_with_the_next_tick)
{
    Fixture f;
    f.clock.advance(5s);
    f.keeper.tick();
    cr_assert(f.registry.isTrusted());
    f.keeper.onContactLost("no answer");
    cr_assert_not(f.registry.isTrusted());
}

Test(upstreamkeeper, the_registry_knows_when_the_store_last_confirmed_it)
{
    Fixture f;
    f.clock.advance(5s);
    f.keeper.onUpToDate();
    cr_assert(f.registry.confirmedAt() == f.clock.now());
}
