#include "directorfixture.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

Test(flowdirector, any_vm_forwards_a_flow_by_its_token)
{
    DirectorFixture first("a", 1);
    DirectorFixture second("b", 2);
    for (std::uint64_t id = 1; id <= 5; ++id) {
        first.add(id);
        second.add(id);
    }
    for (std::uint16_t port = 1; port <= 200; ++port) {
        const FlowDecision placed = first.decide(first.opening(port));
        FlowPacket packet = second.data(port, placed.upstream.value, 101);
        const FlowDecision forwarded = second.decide(packet);
        cr_assert_eq(forwarded.action, FlowAction::Forward);
        cr_assert_eq(forwarded.upstream.value, placed.upstream.value);
        cr_assert_eq(forwarded.token, placed.token);
    }
}

Test(flowdirector, the_answer_that_the_caller_took_first_keeps_the_flow)
{
    DirectorFixture f;
    f.add(1);
    f.add(2, "kobanya");
    f.decide(f.opening(1));
    f.now += 200ms;
    cr_assert_eq(f.decide(f.opening(1, 1)).upstream.value, 2U);
    cr_assert_eq(f.decide(f.data(1, 1, 101)).upstream.value, 1U);
    // The second answer arrives late and changes the token that the caller carries.
    const FlowDecision late = f.decide(f.data(1, 2, 301));
    cr_assert_eq(late.upstream.value, 1U);
    cr_assert_eq(late.token, upstreams::flowToken({1}));
}

Test(flowdirector, open_flows_survive_every_planned_change)
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
        {"entry gone", [](DirectorFixture &f) { f.registry.remove({1}, true, f.now); }},
        {"entry lapsed", [](DirectorFixture &f) { f.registry.remove({1}, false, f.now); }},
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
        f.decide(f.opening(1));
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

Test(flowdirector, a_flow_is_reset_only_when_its_upstream_has_ended_and_it_is_stuck)
{
    DirectorFixture f;
    f.add(1);
    f.decide(f.opening(1));
    f.decide(f.data(1, 1, 101));
    f.registry.remove({1}, true, f.now);
    cr_assert_eq(f.decide(f.data(1, 1, 101)).action, FlowAction::Forward);
    f.now += 200ms;
    const FlowDecision stuck = f.decide(f.data(1, 1, 101));
    cr_assert_eq(stuck.action, FlowAction::Reset);
    cr_assert_eq(stuck.reason, ResultCode::FlowUpstreamGone);
}

Test(flowdirector, flows_of_a_removed_route_end_and_others_do_not)
{
    DirectorFixture f;
    f.add(1);
    f.decide(f.opening(1));
    f.decide(f.data(1, 1, 101));
    f.configure(2, {90});
    cr_assert_eq(f.decide(f.data(1, 1, 301)).reason, ResultCode::FlowRouteRemoved);
    FlowPacket unheard = f.data(2, 1, 101);
    unheard.flow.service.port = 99;
    cr_assert_eq(f.decide(unheard).action, FlowAction::Forward);
}

Test(flowdirector, a_data_centre_that_is_out_gets_nothing_after_the_grace)
{
    DirectorFixture f;
    f.add(1);
    f.decide(f.opening(1));
    f.decide(f.data(1, 1, 101));
    f.routes.evacuate(DataCentreName("obuda"), f.now);
    f.now += 3s;
    cr_assert_eq(f.decide(f.data(1, 1, 301, 600)).action, FlowAction::Forward);
    f.now += 1s;
    cr_assert_eq(f.decide(f.data(1, 1, 501, 700)).reason, ResultCode::FlowDataCentreOut);
}

Test(flowdirector, without_configuration_or_with_an_unknown_token_nothing_is_guessed)
{
    DirectorFixture f;
    f.add(1);
    cr_assert_eq(f.decide(f.data(1, 77, 101)).reason, ResultCode::FlowTokenUnknown);
    FlowPacket bare = f.data(1, 1, 101);
    bare.token = 0;
    cr_assert_eq(f.decide(bare).reason, ResultCode::FlowTokenUnknown);
}

Test(flowdirector, a_stuck_flow_on_an_unlisted_upstream_is_reset_only_without_doubt)
{
    // Replays a VM that joined after an upstream had crashed and never heard of that upstream, and
    // one whose watch was deaf while another VM opened a flow on an upstream that had just started.
    struct Row
    {
        const char *name;
        bool isTrusted;
        std::chrono::milliseconds confirmedAfter; //!< the flow began to wait; 0 for never
        FlowAction action;
    };
    const Row rows[] = {
        {"listed anew since", true, 400ms, FlowAction::Reset},
        {"an answer that was on its way already", true, 100ms, FlowAction::Drop},
        {"deaf watch", true, 0ms, FlowAction::Drop},
        {"store in trouble", false, 400ms, FlowAction::Drop},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        f.registry.setTrusted(row.isTrusted);
        f.registry.setConfirmed(f.now);
        cr_assert_eq(f.decide(f.data(1, 77, 101)).action, FlowAction::Drop);
        if (row.confirmedAfter > 0ms) {
            f.registry.setConfirmed(f.now + row.confirmedAfter);
        }
        f.now += 600ms;
        cr_assert_eq(f.decide(f.data(1, 77, 101)).action, row.action, "%s", row.name);
        f.add(77);
        f.now += 800ms;
        cr_assert_eq(f.decide(f.data(1, 77, 101)).action, FlowAction::Forward, "%s", row.name);
    }
}

namespace {
//! Opens flows from ports 1 to \a count on the only upstream and sends a request on each.
void sendRequests(DirectorFixture &f, std::uint16_t count)
{
    for (std::uint16_t port = 1; port <= count; ++port) {
        f.decide(f.opening(port));
        f.decide(f.data(port, 1, 101));
    }
    f.now += 1ms;
}
}

Test(flowdirector, long_flows_on_an_upstream_that_died_silently_end_early)
{
    // Replays a day on which a quarter of a service died without a word: callers repeat a request
    // after 0.2, 0.6 and 1.4 s.
    struct Row
    {
        const char *name;
        std::uint16_t flows;
        std::uint16_t answered; //!< flows that get an answer after 0.3 s
        std::chrono::milliseconds resetAt; //!< 0 for never
    };
    const Row rows[] = {
        {"three flows wait", 3, 0, 600ms},
        {"two flows wait", 2, 0, 1400ms},
        {"one flow waits, as on each upstream of a VM that is slow itself", 1, 0, 0ms},
        {"another flow is answered", 4, 1, 0ms},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        sendRequests(f, row.flows);
        const auto start = f.now;
        std::chrono::milliseconds resetAt{0};
        for (const auto at : {200ms, 300ms, 600ms, 1400ms}) {
            f.now = start + at;
            if (at == 300ms) {
                for (std::uint16_t port = 1; port <= row.answered; ++port) {
                    f.decide(f.data(port, 1, 301, 900));
                }
                continue;
            }
            for (std::uint16_t port = row.flows; port > row.answered; --port) {
                const FlowDecision decision = f.decide(f.data(port, 1, 101));
                if (decision.action == FlowAction::Reset && resetAt == 0ms) {
                    cr_assert_eq(decision.reason, ResultCode::FlowUpstreamSilent);
                    resetAt = at;
                }
            }
        }
        cr_assert_eq(resetAt.count(), row.resetAt.count(), "%s", row.name);
    }
}

Test(flowdirector, one_silent_flow_ends_early_only_while_other_upstreams_answer_promptly)
{
    // Replays a large fleet in which a fifth of the upstreams died without a word: each VM had a
    // flow or two on each, and their callers waited until their deadlines.
    struct Row
    {
        const char *name;
        int repeatsOfOthers; //!< before each of their answers
        std::chrono::milliseconds answersEvery;
        std::chrono::milliseconds resetAt; //!< 0 for never
    };
    const Row rows[] = {
        {"others are answered at once", 0, 100ms, 1400ms},
        {"others are answered after a repeat, as in a VM that is slow itself", 1, 300ms, 0ms},
        {"too few others are answered", 0, 700ms, 0ms},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        sendRequests(f, 1);
        f.add(2);
        const auto start = f.now;
        auto answerAt = start + row.answersEvery;
        std::uint32_t step = 0;
        std::chrono::milliseconds resetAt{0};
        f.decide(f.data(90, 2, 101));
        for (auto at = 50ms; at <= 1500ms; at += 50ms) {
            f.now = start + at;
            if (f.now == answerAt - 50ms && row.repeatsOfOthers > 0) {
                f.decide(f.data(90, 2, 101 + 200 * step, 500 + 100 * step));
            }
            if (f.now == answerAt) {
                ++step;
                f.decide(f.data(90, 2, 101 + 200 * step, 500 + 100 * step));
                answerAt += row.answersEvery;
            }
            const bool repeats = at == 200ms || at == 600ms || at == 1400ms;
            if (repeats && f.decide(f.data(1, 1, 101)).action == FlowAction::Reset) {
                resetAt = at;
            }
        }
        cr_assert_eq(resetAt.count(), row.resetAt.count(), "%s", row.name);
    }
}

Test(flowdirector, silence_ends_no_flow_that_callers_cannot_repeat_or_that_may_go_on_elsewhere)
{
    struct Row
    {
        const char *name;
        void (*change)(DirectorFixture &);
    };
    const Row rows[] = {
        {"operators froze automatic actions",
         [](DirectorFixture &f) { f.director.setLimits({.judgeSilence = false}); }},
        {"not idempotent",
         [](DirectorFixture &f) { f.configure(2, {80}, routing::RequestKind::NonIdempotent); }},
        {"this VM is cut off, and other VMs may reach the upstream",
         [](DirectorFixture &f) { f.director.setLimits({.resetSilentFlows = false}); }},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        row.change(f);
        sendRequests(f, 5);
        for (int i = 1; i <= 20; ++i) {
            f.now += 200ms;
            for (std::uint16_t port = 1; port <= 5; ++port) {
                cr_assert_eq(f.decide(f.data(port, 1, 101)).action, FlowAction::Forward, "%s",
                             row.name);
            }
        }
    }
}

Test(flowdirector, a_frozen_vm_that_wakes_to_a_queue_of_repeats_ends_no_flow)
{
    for (const auto frozenFor : {0ms, 3500ms}) {
        DirectorFixture f;
        f.add(1);
        sendRequests(f, 5);
        f.now += frozenFor;
        for (int repeat = 0; repeat < 4; ++repeat) {
            for (std::uint16_t port = 1; port <= 5; ++port) {
                cr_assert_eq(f.decide(f.data(port, 1, 101)).action, FlowAction::Forward);
            }
            f.now += 1ms;
        }
    }
}

Test(flowdirector, packets_held_back_from_a_data_centre_that_is_out_prove_no_silence)
{
    // Replays a data centre that came back while callers still repeated requests from before.
    DirectorFixture f;
    f.add(1);
    sendRequests(f, 5);
    f.routes.evacuate(DataCentreName("obuda"), f.now);
    f.now += 4s;
    for (int i = 0; i < 10; ++i) {
        f.now += 400ms;
        for (std::uint16_t port = 1; port <= 5; ++port) {
            cr_assert_eq(f.decide(f.data(port, 1, 301)).reason, ResultCode::FlowDataCentreOut);
        }
    }
    f.routes.takeBack(DataCentreName("obuda"));
    f.now += 400ms;
    for (std::uint16_t port = 1; port <= 5; ++port) {
        cr_assert_eq(f.decide(f.data(port, 1, 301)).action, FlowAction::Forward);
    }
    cr_assert_not(f.table.isSuspect({1}));
}

Test(flowdirector, decisions_tell_how_long_opening_and_answers_took)
{
    DirectorFixture f;
    f.add(1);
    f.decide(f.opening(1));
    f.now += 7ms;
    cr_assert_eq(f.decide(f.data(1, 1, 101)).openedAfter, 7ms);
    f.now += 45ms;
    const FlowDecision next = f.decide(f.data(1, 1, 301, 900));
    cr_assert_eq(next.answeredAfter, 45ms);
    cr_assert_not(next.openedAfter.has_value());
}
