#include "sharedflowfleet.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

namespace {
//! Upstreams as VMs that choose by load see them: upstream 2 is the better choice of the VM.
void makeBusy(SharedFlowFleet &fleet, const char *vm)
{
    for (std::uint16_t port = 100; port < 3000; ++port) {
        fleet.vm(vm).table.setBusy(*fleet.vm(vm).table.insert({{9, port}, {1, 80}}, {1},
                                                              FlowPhase::Open, fleet.vm(vm).now),
                                   true);
    }
}
}

Test(acceptedtwice, a_vm_without_a_record_forwards_to_the_upstream_that_opened_the_flow)
{
    // Guards against a reset of an idle flow after a planned stop. Upstream 1 is frozen for more
    // than 0.5 s, so upstream 2 opens the flow; upstream 1 comes back, and its SYN+ACK changes the
    // token of the client.
    struct Row
    {
        const char *name;
        int lost;
        bool isSuccessorNew;
        std::chrono::milliseconds idle;
    };
    for (const Row &row : {Row{"successor runs", 0, false, 100ms},
                           Row{"first announcements are lost", 2, false, 700ms},
                           Row{"successor starts later", 0, true, 100ms},
                           Row{"the flow is idle for long", 0, true, 14000ms}}) {
        SharedFlowFleet fleet;
        fleet.start("stopping");
        fleet.start("other");
        if (!row.isSuccessorNew) {
            fleet.start("successor");
        }
        cr_assert_eq(fleet.decide("stopping", fleet.vm("stopping").syn(1)).upstream.value, 1U);
        fleet.pass(600ms);
        cr_assert_eq(fleet.decide("stopping", fleet.vm("stopping").syn(1, 2)).upstream.value, 2U);
        fleet.lost = row.lost;
        fleet.decide("stopping", fleet.vm("stopping").data(1, 2, 101));
        fleet.pass(row.idle);
        fleet.end("stopping");
        if (row.isSuccessorNew) {
            fleet.start("successor");
        }
        DirectorFixture &successor = fleet.vm("successor");
        cr_expect_eq(fleet.decide("successor", successor.data(1, 1, 301)).upstream.value, 2U, "%s",
                     row.name);
    }
}

Test(acceptedtwice, a_vm_without_a_record_gives_a_retransmitted_syn_to_no_second_upstream)
{
    // Guards against two upstreams that accept one flow: the SYN+ACK of upstream 1 was lost, and
    // the routers send the retransmission to another VM, for which upstream 2 is the better choice.
    struct Row
    {
        const char *name;
        std::chrono::milliseconds synBeforeLeaving;
        int lost;
        std::uint32_t retransmissions;
    };
    for (const Row &row :
         {Row{"SYN while leaving", 0ms, 0, 1}, Row{"SYN before", 150ms, 0, 1},
          Row{"first announcement lost", 0ms, 1, 1}, Row{"second retransmission", 500ms, 1, 2}}) {
        SharedFlowFleet fleet;
        fleet.start("stopping");
        fleet.start("successor");
        makeBusy(fleet, "successor");
        if (row.synBeforeLeaving == 0ms) {
            fleet.vm("stopping").director.setLeaving(true, fleet.vm("stopping").now);
        }
        cr_assert_eq(fleet.decide("stopping", fleet.vm("stopping").syn(1)).upstream.value, 1U);
        fleet.pass(row.synBeforeLeaving);
        fleet.vm("stopping").now += row.synBeforeLeaving;
        fleet.vm("stopping").director.setLeaving(true, fleet.vm("stopping").now);
        fleet.lost = row.lost;
        fleet.pass((row.retransmissions == 1 ? 200ms : 600ms) - row.synBeforeLeaving);
        // Upstream 1 responds on other flows, so it isn't silent.
        FlowTable &table = fleet.vm("successor").table;
        table.recordResponse(*table.find({{9, 100}, {1, 80}}), fleet.vm("stopping").now + 400ms);
        const FlowDecision decision =
            fleet.decide("successor", fleet.vm("successor").syn(1, row.retransmissions));
        cr_expect(decision.action != FlowAction::Forward || decision.upstream.value == 1,
                  "%s: given to upstream %lu", row.name, decision.upstream.value);
    }
}

Test(acceptedtwice, a_vm_that_returns_forwards_by_what_the_others_know)
{
    // Guards against packets of an open flow that reach another upstream than its own: the VM that
    // took the SYN was killed, its upstream 1 accepted the flow unseen, and so did upstream 2,
    // which another VM selected for the retransmission. The first VM gets the flow back with the
    // token of upstream 1.
    struct Row
    {
        const char *name;
        bool isSecondKilledToo;
        bool hasThird;
    };
    for (const Row &row :
         {Row{"the second VM runs", false, true}, Row{"the second VM ends too", true, true},
          Row{"no third VM", false, false}}) {
        SharedFlowFleet fleet;
        fleet.start("first");
        fleet.start("second");
        if (row.hasThird) {
            fleet.start("third");
        }
        makeBusy(fleet, "second");
        fleet.decide("first", fleet.vm("first").syn(1));
        fleet.end("first");
        fleet.pass(200ms);
        const FlowDecision placed = fleet.decide("second", fleet.vm("second").syn(1, 1));
        cr_assert_eq(placed.upstream.value, 2U, "%s", row.name);
        fleet.decide("second", fleet.vm("second").data(1, 2, 101));
        fleet.pass(100ms);
        if (row.isSecondKilledToo) {
            fleet.end("second");
        }
        fleet.start("first");
        DirectorFixture &first = fleet.vm("first");
        cr_expect_eq(fleet.decide("first", first.data(1, 1, 301)).upstream.value, 2U, "%s",
                     row.name);
        // The flow moves once more.
        fleet.pass(100ms);
        fleet.end("first");
        fleet.start("fourth");
        if (row.hasThird || !row.isSecondKilledToo) {
            DirectorFixture &fourth = fleet.vm("fourth");
            cr_expect_eq(fleet.decide("fourth", fourth.data(1, 1, 501)).upstream.value, 2U, "%s",
                         row.name);
        }
    }
}

Test(acceptedtwice, a_record_by_the_first_token_is_corrected_by_the_vm_that_saw_the_flow_open)
{
    // Guards against a VM that took the token of the wrong upstream before the announcement came.
    SharedFlowFleet fleet;
    fleet.start("opener");
    fleet.start("late");
    makeBusy(fleet, "opener");
    fleet.decide("opener", fleet.vm("opener").syn(1, 1));
    fleet.decide("opener", fleet.vm("opener").data(1, 2, 101));
    cr_assert_eq(fleet.decide("late", fleet.vm("late").data(1, 1, 301)).upstream.value, 1U);
    fleet.pass(50ms);
    cr_expect_eq(fleet.decide("late", fleet.vm("late").data(1, 1, 301)).upstream.value, 2U);
}

Test(acceptedtwice, a_late_syn_of_a_flow_that_opened_through_another_vm_is_dropped)
{
    // Guards against a third upstream: the VM that sent the first SYN has a record that never
    // opened.
    SharedFlowFleet fleet;
    fleet.start("first");
    fleet.start("opener");
    makeBusy(fleet, "opener");
    fleet.decide("first", fleet.vm("first").syn(1));
    fleet.pass(200ms);
    fleet.decide("opener", fleet.vm("opener").syn(1, 1));
    fleet.decide("opener", fleet.vm("opener").data(1, 2, 101));
    fleet.pass(400ms);
    const FlowDecision late = fleet.decide("first", fleet.vm("first").syn(1, 2));
    cr_expect(late.action == FlowAction::Drop);
    const FlowPacket data = fleet.vm("first").data(1, 1, 301);
    cr_expect_eq(fleet.decide("first", data).upstream.value, 2U);
}

Test(acceptedtwice, a_later_flow_from_the_same_port_is_not_taken_for_the_announced_one)
{
    // Guards against packets of a new flow that are sent to the upstream of an earlier one.
    struct Row
    {
        const char *name;
        std::uint32_t sequence;
        std::uint64_t expected;
    };
    for (const Row &row : {Row{"the announced flow", 301, 2}, Row{"another one", 3000000000U, 1}}) {
        SharedFlowFleet fleet;
        fleet.start("opener");
        fleet.start("other");
        makeBusy(fleet, "opener");
        fleet.decide("opener", fleet.vm("opener").syn(1, 1));
        fleet.decide("opener", fleet.vm("opener").data(1, 2, 101));
        fleet.pass(50ms);
        const FlowPacket packet = fleet.vm("other").data(1, 1, row.sequence);
        cr_expect_eq(fleet.decide("other", packet).upstream.value, row.expected, "%s", row.name);
    }
}

Test(acceptedtwice, flows_of_a_single_upstream_are_not_announced)
{
    // Bounds the traffic between VMs: only flows that may have two upstreams cost any.
    SharedFlowFleet fleet;
    fleet.start("first");
    fleet.start("second");
    for (const bool isLeaving : {false, true}) {
        fleet.vm("first").director.setLeaving(isLeaving, fleet.vm("first").now);
        for (std::uint16_t port = 1; port <= 50; ++port) {
            const FlowPacket syn = fleet.vm("first").syn(port);
            const std::uint64_t upstream = fleet.decide("first", syn).upstream.value;
            fleet.pass(10ms);
            fleet.decide("first", fleet.vm("first").data(port, upstream, 101));
        }
        fleet.pass(200ms);
        cr_expect_eq(fleet.flows("second").size(), 0U);
    }
}

Test(acceptedtwice, announcements_end_when_no_token_can_change_any_more)
{
    SharedFlowFleet fleet;
    fleet.start("opener");
    fleet.start("other");
    makeBusy(fleet, "opener");
    fleet.decide("opener", fleet.vm("opener").syn(1, 1));
    std::uint32_t sequence = 101;
    for (int i = 0; i < 13; ++i) {
        fleet.decide("opener", fleet.vm("opener").data(1, 2, sequence));
        sequence += 200;
        cr_expect_eq(fleet.flows("opener").size(), 1U, "after %d s", i);
        fleet.pass(1000ms);
    }
    fleet.decide("opener", fleet.vm("opener").data(1, 2, sequence));
    cr_expect_eq(fleet.flows("opener").size(), 0U);
    fleet.pass(SharedFlowFleet::kRetention + 100ms);
    cr_expect_eq(fleet.flows("other").size(), 0U);
}

Test(acceptedtwice, a_full_list_counts_what_it_drops)
{
    SharedFlowFleet fleet(1);
    fleet.start("opener");
    makeBusy(fleet, "opener");
    for (const std::uint16_t port : {1, 2}) {
        fleet.decide("opener", fleet.vm("opener").syn(port, 1));
        fleet.decide("opener", fleet.vm("opener").data(port, 2, 101));
    }
    cr_expect_eq(fleet.flows("opener").size(), 1U);
    cr_expect_eq(fleet.flows("opener").droppedCount(), 1U);
}
