#include "upstreams/internal/upstreamtracker.h"
#include "upstreams/types/loadreport.h"

#include <criterion/parameterized.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::upstreams;
using namespace std::chrono_literals;

namespace {
constexpr auto kQuick = 20ms;
constexpr UpstreamTracker::TimePoint kStart{1h};

//! An upstream with three slots and a clock beside it.
struct Host
{
    UpstreamTracker tracker{3};
    UpstreamTracker::TimePoint now = kStart;

    void see(Observation observation, std::chrono::milliseconds latency = kQuick, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            this->now += latency + 1ms;
            this->tracker.observe(observation, latency, this->now);
        }
    }

    void provenSeconds(int count)
    {
        this->tracker.report({.state = ReportedState::Ready}, this->now);
        for (int i = 0; i < count; ++i) {
            this->now += 1s;
            this->tracker.report({.state = ReportedState::Ready}, this->now);
            this->tracker.tick(this->now);
        }
    }

    UpstreamState state() const { return this->tracker.state(this->now); }
};

Host readyHost()
{
    Host host;
    host.see(Observation::Answered, kQuick, 2 * UpstreamTracker::kAnswersPerSlot);
    host.provenSeconds(8);
    return host;
}
}

Test(upstreamtracker, starts_cold_and_grows_on_proven_answers_only)
{
    Host host;
    cr_assert_eq(host.state(), UpstreamState::Starting);
    cr_assert_eq(host.tracker.slotAllowance(), 1);
    host.now += 1h;
    host.tracker.tick(host.now);
    cr_assert_eq(host.tracker.slotAllowance(), 1);
    cr_assert_eq(host.tracker.flowAllowance().value_or(0), 20);
    host.see(Observation::Answered, kQuick, UpstreamTracker::kAnswersPerSlot);
    cr_assert_eq(host.tracker.slotAllowance(), 2);
    cr_assert_eq(host.state(), UpstreamState::Ramping);
    host.see(Observation::Answered, kQuick, UpstreamTracker::kAnswersPerSlot);
    cr_assert_eq(host.tracker.slotAllowance(), 3);
    cr_assert_eq(host.state(), UpstreamState::Ready);
}

Test(upstreamtracker, flow_rate_doubles_with_each_proven_second)
{
    Host host;
    host.provenSeconds(1);
    cr_assert_eq(host.tracker.flowAllowance().value_or(0), 40);
    host.provenSeconds(1);
    cr_assert_eq(host.tracker.flowAllowance().value_or(0), 80);
    host.now += 10s;
    host.tracker.tick(host.now);
    cr_assert_eq(host.tracker.flowAllowance().value_or(0), 80);
    host.provenSeconds(5);
    cr_assert(!host.tracker.flowAllowance().has_value());
    cr_assert_eq(host.state(), UpstreamState::Ready);
}

struct ColdSign
{
    Observation observation;
    int latencyMs;
    int times;
    UpstreamState state;
};

ParameterizedTestParameters(upstreamtracker, sign_of_cold_returns_to_the_start)
{
    static ColdSign cases[] = {
        {Observation::Answered, 2000, 2, UpstreamState::Starting},
        {Observation::Silent, 500, 1, UpstreamState::Starting},
        {Observation::Silent, 500, 3, UpstreamState::Gone},
        {Observation::Refused, 1, 1, UpstreamState::Gone},
        {Observation::Cut, 20, 1, UpstreamState::Starting},
        {Observation::Shed, 1, 1, UpstreamState::Shedding},
        {Observation::Cancelled, 2000, 9, UpstreamState::Ready},
        {Observation::Answered, 2000, 1, UpstreamState::Ready},
    };
    return cr_make_param_array(ColdSign, cases, sizeof(cases) / sizeof(ColdSign));
}

ParameterizedTest(ColdSign *row, upstreamtracker, sign_of_cold_returns_to_the_start)
{
    Host host = readyHost();
    cr_assert_eq(host.state(), UpstreamState::Ready);
    host.see(row->observation, std::chrono::milliseconds(row->latencyMs), row->times);
    cr_assert_eq(host.state(), row->state);
    cr_assert_eq(host.tracker.slotAllowance(), row->state == UpstreamState::Ready ? 3 : 1);
}

Test(upstreamtracker, held_conditions_end_cold)
{
    Host host = readyHost();
    host.see(Observation::Refused);
    cr_assert_eq(host.state(), UpstreamState::Gone);
    host.now += 2s;
    cr_assert_eq(host.state(), UpstreamState::Starting);
}

Test(upstreamtracker, answer_to_a_request_from_before_the_reset_proves_nothing)
{
    Host host = readyHost();
    host.see(Observation::Cut);
    for (int i = 0; i < 9; ++i) {
        host.tracker.observe(Observation::Answered, 1000ms, host.now + 10ms);
    }
    cr_assert_eq(host.tracker.slotAllowance(), 1);
}

struct ReportCase
{
    ReportedState reported;
    Observation observed;
    UpstreamState state;
};

ParameterizedTestParameters(upstreamtracker, worse_of_report_and_observation_wins)
{
    static ReportCase cases[] = {
        {ReportedState::Ready, Observation::Refused, UpstreamState::Gone},
        {ReportedState::Ready, Observation::Cut, UpstreamState::Starting},
        {ReportedState::Ready, Observation::Answered, UpstreamState::Ready},
        {ReportedState::Starting, Observation::Answered, UpstreamState::Starting},
        {ReportedState::Shedding, Observation::Answered, UpstreamState::Shedding},
        {ReportedState::Leaving, Observation::Answered, UpstreamState::Leaving},
        {ReportedState::Leaving, Observation::Refused, UpstreamState::Gone},
    };
    return cr_make_param_array(ReportCase, cases, sizeof(cases) / sizeof(ReportCase));
}

ParameterizedTest(ReportCase *row, upstreamtracker, worse_of_report_and_observation_wins)
{
    Host host = readyHost();
    host.tracker.report({.state = row->reported}, host.now);
    host.see(row->observed);
    host.tracker.report({.state = row->reported}, host.now);
    cr_assert_eq(host.state(), row->state);
}

Test(upstreamtracker, failed_probes_mean_gone_and_a_later_report_starts_cold)
{
    Host host = readyHost();
    host.tracker.probeFailed(Observation::Silent, host.now);
    cr_assert_eq(host.state(), UpstreamState::Ready);
    host.tracker.probeFailed(Observation::Silent, host.now);
    cr_assert_eq(host.state(), UpstreamState::Gone);
    host.now += 3s;
    host.tracker.report({.state = ReportedState::Ready}, host.now);
    cr_assert_eq(host.state(), UpstreamState::Starting);
}

Test(upstreamtracker, return_to_service_starts_cold_once_for_all_vms)
{
    Host host = readyHost();
    host.tracker.returnToService(7, host.now);
    cr_assert_eq(host.state(), UpstreamState::Starting);
    host.see(Observation::Answered, kQuick, UpstreamTracker::kAnswersPerSlot);
    host.tracker.returnToService(7, host.now);
    cr_assert_eq(host.tracker.slotAllowance(), 2);
}

Test(upstreamtracker, merged_warmth_does_not_depend_on_order)
{
    const auto warmth = rc::gen::construct<Warmth>(rc::gen::inRange<std::uint64_t>(0, 3),
                                                   rc::gen::inRange<std::uint32_t>(0, 3),
                                                   rc::gen::inRange(1, 4), rc::gen::inRange(0, 8));
    cr_assert(rc::check([&] {
        const Warmth a = *warmth;
        const Warmth b = *warmth;
        const Warmth c = *warmth;
        RC_ASSERT(Warmth::merged(a, b) == Warmth::merged(b, a));
        RC_ASSERT(Warmth::merged(a, Warmth::merged(b, c))
                  == Warmth::merged(Warmth::merged(a, b), c));
        RC_ASSERT(Warmth::merged(a, a) == a);
    }));
}
