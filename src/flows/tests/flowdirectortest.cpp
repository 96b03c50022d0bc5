#include "directorfixture.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

Test(flowdirector, any_vm_forwards_a_packet_by_its_token)
{
    DirectorFixture first("a", 1);
    DirectorFixture second("b", 2);
    for (std::uint64_t id = 1; id <= 5; ++id) {
        first.add(id);
        second.add(id);
    }
    for (std::uint16_t port = 1; port <= 200; ++port) {
        const FlowDecision placed = first.decide(first.syn(port));
        FlowPacket packet = second.data(port, placed.upstream.value, 101);
        const FlowDecision forwarded = second.decide(packet);
        cr_assert_eq(forwarded.action, FlowAction::Forward);
        cr_assert_eq(forwarded.upstream.value, placed.upstream.value);
        cr_assert_eq(forwarded.token, placed.token);
    }
}

Test(flowdirector, a_flow_stays_on_the_upstream_whose_response_the_client_accepted_first)
{
    DirectorFixture f;
    f.add(1);
    f.add(2, "kobanya");
    f.decide(f.syn(1));
    f.now += 600ms;
    cr_assert_eq(f.decide(f.syn(1, 2)).upstream.value, 2U);
    cr_assert_eq(f.decide(f.data(1, 1, 101)).upstream.value, 1U);
    // The second upstream's response arrives late and changes the token that the client sends.
    const FlowDecision late = f.decide(f.data(1, 2, 301));
    cr_assert_eq(late.upstream.value, 1U);
    cr_assert_eq(late.token, upstreams::flowToken({1}));
}

Test(flowdirector, open_flows_continue_across_planned_changes)
{
    struct Row
    {
        const char *name;
        void (*change)(DirectorFixture &);
    };
    const Row rows[] = {
        {"draining",
         [](DirectorFixture &f) {
             auto upstream = f.add(1);
             upstream.draining = true;
             f.registry.update(upstream, f.now);
         }},
        {"entry removed while the store is stable",
         [](DirectorFixture &f) { f.registry.remove({1}, true, f.now); }},
        {"entry removed while the store is unstable",
         [](DirectorFixture &f) { f.registry.remove({1}, false, f.now); }},
        {"new configuration", [](DirectorFixture &f) { f.configure(9, {80}); }},
        {"cold again",
         [](DirectorFixture &f) {
             auto upstream = f.add(1);
             upstream.warmupLeft = 5s;
             upstream.incarnation = 2;
             f.registry.update(upstream, f.now);
         }},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        f.decide(f.syn(1));
        f.decide(f.data(1, 1, 101));
        f.add(2);
        row.change(f);
        for (std::uint32_t i = 1; i < 50; ++i) {
            f.now += 100ms;
            const FlowDecision decision = f.decide(f.data(1, 1, 101 + i * 200, 500 + i * 100));
            cr_assert_eq(decision.action, FlowAction::Forward, "%s", row.name);
            cr_assert_eq(decision.upstream.value, 1U, "%s", row.name);
        }
    }
}

Test(flowdirector, an_evacuated_data_centre_gets_no_packets_after_the_grace_period)
{
    DirectorFixture f;
    f.add(1);
    f.decide(f.syn(1));
    f.decide(f.data(1, 1, 101));
    f.routes.evacuate(DataCentreName("obuda"), f.now);
    f.now += 3s;
    cr_assert_eq(f.decide(f.data(1, 1, 301, 600)).action, FlowAction::Forward);
    f.now += 1s;
    cr_assert_eq(f.decide(f.data(1, 1, 501, 700)).reason, ResultCode::FlowDataCentreOut);
}

Test(flowdirector, packets_without_a_known_token_are_not_forwarded)
{
    DirectorFixture f;
    f.add(1);
    const FlowDecision unknown = f.decide(f.data(1, 77, 101));
    cr_assert_eq(unknown.action, FlowAction::Drop);
    cr_assert_eq(unknown.reason, ResultCode::FlowTokenUnknown);
    FlowPacket withoutToken = f.data(1, 1, 101);
    withoutToken.token = 0;
    const FlowDecision missing = f.decide(withoutToken);
    cr_assert_eq(missing.action, FlowAction::Drop);
    cr_assert_eq(missing.reason, ResultCode::FlowTokenUnknown);
}

Test(flowdirector, decisions_report_opening_time_and_response_time)
{
    DirectorFixture f;
    f.add(1);
    f.decide(f.syn(1));
    f.now += 7ms;
    cr_assert_eq(f.decide(f.data(1, 1, 101)).openingTime, 7ms);
    f.now += 45ms;
    const FlowDecision next = f.decide(f.data(1, 1, 301, 900));
    cr_assert_eq(next.responseTime, 45ms);
    cr_assert_not(next.openingTime.has_value());
}
