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

Test(flowdirector, a_flow_on_an_ended_upstream_is_reset_only_when_it_gets_no_response)
{
    // Guards against resets of flows on an upstream that has started again under its identifier,
    // by a VM that still holds it for ended.
    struct Row
    {
        const char *name;
        std::chrono::milliseconds confirmedAfter; //!< relative to the first packet
        bool startsAgain;
        FlowAction action;
    };
    const Row rows[] = {
        {"confirmed since", 4ms, false, FlowAction::Reset},
        {"confirmed until just before the first packet", -1ms, false, FlowAction::Forward},
        {"started again, and this VM knows", 4ms, true, FlowAction::Forward},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        f.registry.remove({1}, true, f.now);
        f.now += 2s;
        const FlowDecision first = f.decide(f.data(1, 1, 101));
        cr_assert_eq(first.action, FlowAction::Forward, "%s", row.name);
        cr_assert(first.needsConfirmation, "%s", row.name);
        f.registry.recordConfirmation(f.now + row.confirmedAfter);
        if (row.startsAgain) {
            f.add(1);
        }
        f.now += 200ms;
        const FlowDecision afterRetransmission = f.decide(f.data(1, 1, 101));
        cr_assert_eq(afterRetransmission.action, row.action, "%s", row.name);
        cr_assert_eq(afterRetransmission.reason,
                     row.action == FlowAction::Reset ? ResultCode::FlowUpstreamGone
                                                     : ResultCode::Ok,
                     "%s", row.name);
        cr_assert_eq(afterRetransmission.needsConfirmation, row.confirmedAfter < 0ms, "%s",
                     row.name);
    }
}

Test(flowdirector, flows_on_a_responding_upstream_without_an_entry_need_no_confirmation)
{
    // Load pattern: upstreams lose the store, not their clients; their entries lapse, and every
    // request on their flows would cost a call to the store.
    DirectorFixture f;
    f.add(1);
    f.decide(f.syn(1));
    f.decide(f.data(1, 1, 101));
    f.registry.remove({1}, true, f.now);
    f.now += 50ms;
    cr_assert_not(f.decide(f.data(1, 1, 301, 600)).needsConfirmation);
    for (std::uint32_t i = 2; i < 20; ++i) {
        f.now += 100ms;
        const FlowDecision decision = f.decide(f.data(1, 1, 101 + i * 200, 500 + i * 100));
        cr_assert_eq(decision.action, FlowAction::Forward);
        cr_assert_not(decision.needsConfirmation);
    }
    f.now += 200ms;
    cr_assert(f.decide(f.data(1, 1, 101 + 19 * 200, 500 + 19 * 100)).needsConfirmation);
}

Test(flowdirector, only_flows_of_a_removed_route_are_reset)
{
    // Guards against resets of flows on a route that was removed and added again, by a VM that has
    // received only the removal.
    struct Row
    {
        const char *name;
        bool isRecorded; //!< this VM forwarded the flow before the removal
        std::chrono::milliseconds confirmedAfter; //!< relative to the last packet before the check
        FlowAction action;
    };
    const Row rows[] = {
        {"recorded, confirmed by the call that brought the removal", true, 0ms, FlowAction::Reset},
        {"recorded, confirmed only until before the flow", true, -2s, FlowAction::Forward},
        {"first packet here, not confirmed since", false, -1ms, FlowAction::Forward},
        {"first packet here, confirmed since", false, 4ms, FlowAction::Reset},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        if (row.isRecorded) {
            f.decide(f.syn(1));
            f.now += 50ms;
            f.decide(f.data(1, 1, 101));
        }
        f.configure(2, {90});
        if (!row.isRecorded) {
            const FlowDecision first = f.decide(f.data(1, 1, 101));
            cr_assert_eq(first.action, FlowAction::Forward, "%s", row.name);
            cr_assert(first.needsRouteConfirmation, "%s", row.name);
        }
        f.routes.recordConfirmation(f.now + row.confirmedAfter);
        f.now += 50ms;
        const FlowDecision decision = f.decide(f.data(1, 1, 301));
        cr_assert_eq(decision.action, row.action, "%s", row.name);
        const bool isReset = row.action == FlowAction::Reset;
        cr_assert_eq(decision.reason, isReset ? ResultCode::FlowRouteRemoved : ResultCode::Ok);
        cr_assert_eq(decision.needsRouteConfirmation, !isReset, "%s", row.name);
        FlowPacket unlisted = f.data(2, 1, 101);
        unlisted.flow.service.port = 99;
        cr_assert_eq(f.decide(unlisted).action, FlowAction::Forward, "%s", row.name);
        FlowPacket withoutToken = f.data(3, 1, 101);
        withoutToken.token = 0;
        cr_assert_eq(f.decide(withoutToken).action, FlowAction::Reset, "%s", row.name);
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

Test(flowdirector, a_silent_flow_on_an_unlisted_upstream_is_reset_only_after_store_confirmation)
{
    // Guards against three failures: a VM joined after an upstream had crashed and never received
    // its entry; the watch of a VM or of its relay delivered no changes while another VM opened a
    // flow on an upstream that had just started.
    struct Row
    {
        const char *name;
        bool isReliable;
        std::chrono::milliseconds confirmedAfter; //!< relative to the first packet
        FlowAction action;
    };
    const Row rows[] = {
        {"confirmed since", true, 4ms, FlowAction::Reset},
        {"confirmed until just before the first packet", true, -1ms, FlowAction::Drop},
        {"watch delivers no changes", true, -3s, FlowAction::Drop},
        {"registry not reliable", false, 4ms, FlowAction::Drop},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        f.registry.setReliable(row.isReliable);
        f.registry.recordConfirmation(f.now - 3s);
        const FlowDecision first = f.decide(f.data(1, 77, 101));
        cr_assert_eq(first.action, FlowAction::Drop);
        cr_assert(first.needsConfirmation, "%s", row.name);
        f.registry.recordConfirmation(f.now + row.confirmedAfter);
        f.now += 600ms;
        const FlowDecision again = f.decide(f.data(1, 77, 101));
        cr_assert_eq(again.action, row.action, "%s", row.name);
        cr_assert_eq(again.needsConfirmation, row.action == FlowAction::Drop, "%s", row.name);
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
        f.decide(f.syn(port));
        f.decide(f.data(port, 1, 101));
    }
    f.now += 1ms;
}
}

Test(flowdirector, long_flows_on_an_upstream_that_failed_silently_are_reset_early)
{
    // A quarter of the upstreams of a service fail without closing their flows. Clients retransmit
    // a request after 0.2, 0.6 and 1.4 s.
    struct Row
    {
        const char *name;
        std::uint16_t flows;
        std::uint16_t responding; //!< flows that get a response after 0.3 s
        std::chrono::milliseconds resetAt; //!< 0 for never
    };
    const Row rows[] = {
        {"three flows wait", 3, 0, 600ms},
        {"two flows wait", 2, 0, 1400ms},
        {"one flow waits, as on each upstream if the VM itself is slow", 1, 0, 0ms},
        {"another flow gets a response", 4, 1, 0ms},
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
                for (std::uint16_t port = 1; port <= row.responding; ++port) {
                    f.decide(f.data(port, 1, 301, 900));
                }
                continue;
            }
            for (std::uint16_t port = row.flows; port > row.responding; --port) {
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

Test(flowdirector, one_silent_flow_is_reset_early_only_while_other_upstreams_respond_promptly)
{
    // In a large fleet a fifth of the upstreams fail without closing their flows. Each VM has one
    // or two flows on each of these upstreams, whose clients wait until their deadlines.
    struct Row
    {
        const char *name;
        int otherRetransmissions; //!< retransmissions before each response of other upstreams
        std::chrono::milliseconds responseInterval;
        std::chrono::milliseconds resetAt; //!< 0 for never
    };
    const Row rows[] = {
        {"other upstreams respond at once", 0, 100ms, 1400ms},
        {"other upstreams respond after a retransmission, as if the VM itself is slow", 1, 300ms,
         0ms},
        {"other upstreams respond too rarely", 0, 700ms, 0ms},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(1);
        sendRequests(f, 1);
        f.add(2);
        const auto start = f.now;
        auto responseAt = start + row.responseInterval;
        std::uint32_t step = 0;
        std::chrono::milliseconds resetAt{0};
        f.decide(f.data(90, 2, 101));
        for (auto at = 50ms; at <= 1500ms; at += 50ms) {
            f.now = start + at;
            if (f.now == responseAt - 50ms && row.otherRetransmissions > 0) {
                f.decide(f.data(90, 2, 101 + 200 * step, 500 + 100 * step));
            }
            if (f.now == responseAt) {
                ++step;
                f.decide(f.data(90, 2, 101 + 200 * step, 500 + 100 * step));
                responseAt += row.responseInterval;
            }
            const bool isRetransmission = at == 200ms || at == 600ms || at == 1400ms;
            if (isRetransmission && f.decide(f.data(1, 1, 101)).action == FlowAction::Reset) {
                resetAt = at;
            }
        }
        cr_assert_eq(resetAt.count(), row.resetAt.count(), "%s", row.name);
    }
}

Test(flowdirector, a_silent_flow_is_not_reset_if_clients_cannot_retry_or_it_may_continue_elsewhere)
{
    struct Row
    {
        const char *name;
        void (*change)(DirectorFixture &);
    };
    const Row rows[] = {
        {"operators froze automatic actions",
         [](DirectorFixture &f) { f.director.setLimits({.detectSilence = false}); }},
        {"not idempotent",
         [](DirectorFixture &f) { f.configure(2, {80}, routing::RequestKind::NonIdempotent); }},
        {"this VM is cut off, but other VMs may reach the upstream",
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

Test(flowdirector, retransmissions_queued_while_the_vm_was_paused_reset_no_flow)
{
    for (const auto pausedFor : {0ms, 3500ms}) {
        DirectorFixture f;
        f.add(1);
        sendRequests(f, 5);
        f.now += pausedFor;
        for (int retransmission = 0; retransmission < 4; ++retransmission) {
            for (std::uint16_t port = 1; port <= 5; ++port) {
                cr_assert_eq(f.decide(f.data(port, 1, 101)).action, FlowAction::Forward);
            }
            f.now += 1ms;
        }
    }
}

Test(flowdirector, packets_dropped_during_an_evacuation_do_not_count_as_silence)
{
    // A data centre returns from evacuation while clients still retransmit requests from before.
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
    f.routes.endEvacuation(DataCentreName("obuda"));
    f.now += 400ms;
    for (std::uint16_t port = 1; port <= 5; ++port) {
        cr_assert_eq(f.decide(f.data(port, 1, 301)).action, FlowAction::Forward);
    }
    cr_assert_not(f.table.isSuspect({1}));
}

Test(flowdirector, packets_dropped_for_an_unlisted_upstream_do_not_count_as_silence)
{
    // Guards against resets of flows on an upstream that this VM lists later than others: it gets
    // the packets of these flows only from then on, and clients have retransmitted them by then.
    struct Row
    {
        const char *name;
        std::chrono::milliseconds listedAt;
    };
    const Row rows[] = {
        {"listed before the first retransmission", 100ms},
        {"listed before the second one", 300ms},
        {"listed before the third one", 700ms},
        {"listed before the fourth one", 1500ms},
    };
    for (const Row &row : rows) {
        DirectorFixture f;
        f.add(2);
        const auto start = f.now;
        bool isListed = false;
        for (const auto at : {0ms, 200ms, 600ms, 1400ms, 3000ms}) {
            f.now = start + at;
            if (at > row.listedAt && !isListed) {
                f.add(77);
                isListed = true;
            }
            for (std::uint16_t port = 1; port <= 5; ++port) {
                const FlowDecision decision = f.decide(f.data(port, 77, 101));
                cr_assert_eq(decision.action, isListed ? FlowAction::Forward : FlowAction::Drop,
                             "%s, %ld ms", row.name, at.count());
            }
            cr_assert_not(f.table.isSuspect({77}), "%s, %ld ms", row.name, at.count());
            if (isListed) {
                break;
            }
        }
    }
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
