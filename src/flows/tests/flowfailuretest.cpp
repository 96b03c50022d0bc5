#include "flows/tests/flowcluster.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;
using membership::MemberState;
using upstreams::UpstreamState;

namespace {
void expect(const std::string &got, const std::string &wanted, const char *what)
{
    cr_expect(got == wanted, "%s: wanted %s, got %s", what, wanted.c_str(), got.c_str());
}

//! Every running VM sends the flow to \a wanted.
void expectEverywhere(FlowCluster &cluster, const FlowKey &key, const std::string &wanted,
                      const char *what)
{
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (cluster.vm(i).isUp) {
            expect(cluster.send(i, key, Segment::Data), wanted, what);
        }
    }
}

//! A flow whose home is \a vm.
FlowKey flowWithHome(FlowCluster &cluster, std::size_t vm)
{
    std::uint16_t n = 0;
    while (cluster.homeOf(FlowCluster::flow(n)) != vm) {
        ++n;
    }
    return FlowCluster::flow(n);
}

//! An established flow that was placed on c although its slot's table names a.
FlowKey placeOffTable(FlowCluster &cluster)
{
    cluster.setViews(0, 0, true, true);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.vm(i).upstreams.states[UpstreamName("a")] = UpstreamState::Shedding;
        cluster.vm(i).upstreams.states[UpstreamName("b")] = UpstreamState::Shedding;
    }
    const FlowKey key = FlowCluster::flow(7);
    expect(cluster.send(0, key, Segment::Syn), "c", "placed off the table");
    expect(cluster.send(0, key, Segment::Data), "c", "established");
    cluster.run(200ms);
    return key;
}
}

Test(flowfailure, uneven_epochs)
{
    FlowCluster cluster(3);
    const FlowKey old = FlowCluster::flow(1);
    expect(cluster.send(0, old, Segment::Syn), "a", "before");
    // VM 0 has heard of the new table but it is not active; VM 1 and 2 have not.
    cluster.vm(0).placement.setViews(0, {0, 0, true, false});
    const FlowKey between = FlowCluster::flow(2);
    for (std::size_t i = 0; i < 3; ++i) {
        expect(cluster.send(i, between, Segment::Syn), "a", "announced");
    }
    cluster.setViews(0, 0, true, false);
    cluster.vm(0).placement.setViews(0, {0, 1, true, true});
    expectEverywhere(cluster, old, "a", "old flow");
    expectEverywhere(cluster, between, "a", "flow of the announcement");
}

Test(flowfailure, slot_changes_twice_under_old_flows)
{
    FlowCluster cluster(3);
    cluster.setViews(0, 0, true, true);
    const FlowKey first = FlowCluster::flow(1);
    const FlowKey second = FlowCluster::flow(2);
    const FlowKey third = FlowCluster::flow(3);
    const FlowKey unrecorded = FlowCluster::flow(4);
    expect(cluster.send(0, first, Segment::Syn), "a", "first table");
    cluster.setViews(0, 1, true, true);
    expect(cluster.send(1, second, Segment::Syn), "b", "second table");
    cluster.setViews(0, 2, true, true);
    expect(cluster.send(2, third, Segment::Syn), "c", "third table");
    cluster.run(40s);
    expectEverywhere(cluster, first, "a", "first");
    expectEverywhere(cluster, second, "b", "second");
    expectEverywhere(cluster, third, "c", "third");
    expectEverywhere(cluster, unrecorded, "a", "unrecorded");
}

Test(flowfailure, vm_that_joins_is_home_at_once)
{
    FlowCluster cluster(3);
    cluster.start();
    FlowCluster four(4);
    const FlowKey key = flowWithHome(four, 3);
    cluster.setViews(0, 1, true, true);
    expect(cluster.send(0, key, Segment::Syn), "b", "placed by the old home");
    const std::size_t oldHome = cluster.homeOf(key);
    cluster.join();
    cr_expect_eq(cluster.homeOf(key), 3U);
    expectEverywhere(cluster, key, "b", "before the new home knows anything");
    const FlowKey other =
        FlowCluster::flow(static_cast<std::uint16_t>(key.caller.port - 20000 + 4));
    if (cluster.homeOf(other) == 3 && oldHome != 3) {
        const std::string outcome = cluster.send(0, other, Segment::Syn);
        cr_expect(outcome == "b" || outcome == "FlowOwnerUnknown", "%s", outcome.c_str());
    }
    cluster.run(5s);
    cluster.kill(oldHome);
    expectEverywhere(cluster, key, "b", "after the old home died");
}

Test(flowfailure, flow_placed_by_the_old_home_while_the_new_one_takes_over)
{
    constexpr int kSteps = 90;
    constexpr std::uint16_t kFlows = 20;
    constexpr std::uint16_t kOldFlows = 300;
    int placed = 0;
    for (int before = 0; before < kSteps; ++before) {
        FlowCluster cluster(3);
        cluster.start();
        cluster.setViews(0, 1, true, true);
        // Enough records that handing them over takes longer than the takeover window.
        for (std::uint16_t n = kFlows; n < kFlows + kOldFlows; ++n) {
            cluster.send(0, FlowCluster::flow(n), Segment::Syn);
        }
        cluster.join();
        // The new home begins to ask for what the old ones know.
        cluster.send(3, flowWithHome(cluster, 3), Segment::Data);
        for (int step = 0; step <= before; ++step) {
            cluster.network.deliver();
            cluster.clock.advance(100ms);
            for (std::size_t i = 0; i < cluster.size(); ++i) {
                cluster.vm(i).membership.hear(cluster.clock.now());
                cluster.vm(i).router.tick(cluster.clock.now());
            }
        }
        // What the last tick has sent is still on its way while these flows are placed.
        std::vector<FlowKey> flows;
        for (std::uint16_t n = 0; n < kFlows; ++n) {
            const FlowKey key = FlowCluster::flow(n);
            if (cluster.homeOf(key) == 3 && cluster.send(3, key, Segment::Syn) == "b") {
                flows.push_back(key);
            }
        }
        cluster.network.deliver();
        for (const FlowKey &key : flows) {
            ++placed;
            const std::string next = cluster.send(3, key, Segment::Data);
            cr_expect(next == "b" || next == "FlowOwnerUnknown", "after %d ticks: %s", before,
                      next.c_str());
        }
    }
    cr_expect_gt(placed, 0);
}

Test(flowfailure, unknown_flow_is_not_guessed_by_a_new_home)
{
    FlowCluster cluster(3);
    cluster.start();
    FlowCluster four(4);
    const FlowKey key = flowWithHome(four, 3);
    cluster.setViews(0, 1, true, true);
    cluster.join();
    expect(cluster.send(3, key, Segment::Data), "FlowOwnerUnknown", "not settled");
    cluster.run(5s);
    expect(cluster.send(3, key, Segment::Data), "a", "settled");
}

Test(flowfailure, home_and_upstream_die_together)
{
    FlowCluster cluster(4);
    const FlowKey lost = placeOffTable(cluster);
    const std::size_t home = cluster.homeOf(lost);
    cluster.kill(home);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.vm(i).upstreams.states[UpstreamName("c")] = UpstreamState::Gone;
        cluster.vm(i).upstreams.states[UpstreamName("a")] = UpstreamState::Ready;
    }
    cluster.run(2s);
    // Its own upstream may answer again; another one would reset it.
    expectEverywhere(cluster, lost, "c", "flow of the dead upstream");
    const std::size_t any = home == 0 ? 1 : 0;
    expect(cluster.send(any, FlowCluster::flow(50), Segment::Syn), "a", "new flow");
}

Test(flowfailure, record_survives_its_home)
{
    FlowCluster cluster(4);
    const FlowKey key = placeOffTable(cluster);
    cluster.kill(cluster.homeOf(key));
    expectEverywhere(cluster, key, "c", "at once");
    cluster.run(10s);
    const std::size_t next = cluster.homeOf(key, cluster.vm(0).isUp ? 0 : 1);
    cluster.kill(next);
    expectEverywhere(cluster, key, "c", "after the next home died as well");
}

Test(flowfailure, record_survives_a_lost_datagram)
{
    FlowCluster cluster(4);
    cluster.setViews(0, 1, true, true);
    const FlowKey key = FlowCluster::flow(3);
    expect(cluster.send(0, key, Segment::Syn), "b", "placed");
    for (int i = 0; i < 30; ++i) {
        cluster.clock.advance(100ms);
        for (std::size_t vm = 0; vm < 4; ++vm) {
            cluster.vm(vm).membership.hear(cluster.clock.now());
            cluster.vm(vm).router.tick(cluster.clock.now());
        }
        cluster.network.lose();
    }
    cluster.run(3s);
    cluster.kill(cluster.homeOf(key));
    expectEverywhere(cluster, key, "b", "sent again after the loss");
}

Test(flowfailure, planned_stop_hands_records_over)
{
    FlowCluster cluster(4);
    cluster.setViews(0, 1, true, true);
    std::vector<FlowKey> flows;
    for (std::uint16_t n = 0; n < 100; ++n) {
        flows.push_back(FlowCluster::flow(n));
        expect(cluster.send(n % 4, flows.back(), Segment::Syn), "b", "placed");
    }
    // Too young to be replicated.
    const std::size_t leaving = cluster.homeOf(flows[0]);
    cluster.setState(leaving, MemberState::Leaving);
    cluster.vm(leaving).router.prepareStop(cluster.clock.now());
    for (const FlowKey &key : flows) {
        expectEverywhere(cluster, key, "b", "during the hand-over");
    }
    int steps = 0;
    while (!cluster.vm(leaving).router.isReadyToStop(cluster.clock.now())) {
        cluster.run(100ms);
        ++steps;
    }
    cr_expect_leq(steps, 10, "took %d ticks", steps);
    cluster.kill(leaving);
    for (const FlowKey &key : flows) {
        expectEverywhere(cluster, key, "b", "after the stop");
    }
}

Test(flowfailure, pause_and_wake_with_an_old_table)
{
    FlowCluster cluster(4);
    const FlowKey key = FlowCluster::flow(5);
    expect(cluster.send(0, key, Segment::Data), "a", "before");
    // VM 0 sleeps for a minute; meanwhile the slot moved on and b is the only table's upstream.
    cluster.vm(0).isUp = false;
    cluster.run(60s);
    for (std::size_t i = 1; i < 4; ++i) {
        cluster.vm(i).placement.setViews(0, {1, 1, false, false});
    }
    cluster.vm(0).isUp = true;
    const FlowKey fresh = FlowCluster::flow(6);
    expect(cluster.send(1, fresh, Segment::Syn), "b", "placed meanwhile");
    const std::string outcome = cluster.send(0, fresh, Segment::Data);
    cr_expect(outcome == "b" || outcome == "FlowDoubtful", "woken VM: %s", outcome.c_str());
    // Heartbeats that waited in the socket make the membership look fresh.
    cluster.vm(0).membership.hear(cluster.clock.now());
    cluster.vm(0).router.tick(cluster.clock.now());
    const std::string again = cluster.send(0, fresh, Segment::Data);
    cr_expect(again == "b" || again == "FlowDoubtful", "buffered news: %s", again.c_str());
    cluster.vm(0).placement.setViews(0, {1, 1, false, false});
    cluster.run(1s);
    expectEverywhere(cluster, fresh, "b", "after new news");
}

Test(flowfailure, reused_upstream_address)
{
    FlowCluster cluster(3);
    const FlowKey key = placeOffTable(cluster);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        TestVm &vm = cluster.vm(i);
        settings::Configuration changed = *vm.configuration.current();
        ++changed.generation;
        // Upstream c leaves the board service and its address becomes one of the intake service.
        changed.services[0].upstreams.pop_back();
        vm.placement.entries[2].configured = false;
        vm.configuration.accept(changed);
    }
    expectEverywhere(cluster, key, "c", "only removed");
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        settings::Configuration changed = *cluster.vm(i).configuration.current();
        ++changed.generation;
        settings::Upstream moved = changed.services[0].upstreams.back();
        moved.name = UpstreamName("z");
        moved.tunnel = cluster.vm(i).placement.entries[2].upstream.tunnel;
        changed.services[1].upstreams.push_back(moved);
        cluster.vm(i).configuration.accept(changed);
    }
    expectEverywhere(cluster, key, "FlowGivenUp", "address reused");
}

Test(flowfailure, first_packet_again_through_another_vm)
{
    FlowCluster cluster(4);
    cluster.setViews(0, 1, true, true);
    const FlowKey key = FlowCluster::flow(9);
    expect(cluster.send(0, key, Segment::Syn), "b", "first");
    for (std::size_t i = 0; i < 4; ++i) {
        cluster.vm(i).upstreams.states[UpstreamName("b")] = UpstreamState::Leaving;
    }
    for (std::size_t i = 0; i < 4; ++i) {
        expect(cluster.send(i, key, Segment::Syn), "b", "again");
    }
    expect(cluster.send(0, FlowCluster::flow(10), Segment::Syn), "a", "another flow");
    expectEverywhere(cluster, key, "b", "established");
}

Test(flowfailure, client_port_reuse_starts_a_new_flow)
{
    FlowCluster cluster(4);
    const FlowKey key = placeOffTable(cluster);
    expect(cluster.send(1, key, Segment::Fin), "c", "finished");
    for (std::size_t i = 0; i < 4; ++i) {
        cluster.vm(i).upstreams.states[UpstreamName("a")] = UpstreamState::Ready;
    }
    expect(cluster.send(2, key, Segment::Syn), "a", "new flow");
    expectEverywhere(cluster, key, "a", "new flow established");
    cluster.run(1s);
    cluster.kill(cluster.homeOf(key));
    expectEverywhere(cluster, key, "a", "after the home died");
}

Test(flowfailure, cache_entry_that_outlives_its_flow)
{
    FlowCluster cluster(4);
    const FlowKey key = FlowCluster::flow(11);
    const std::size_t other = cluster.otherThanHome(key);
    expect(cluster.send(other, key, Segment::Data), "a", "cached in an agreed slot");
    cluster.setViews(0, 1, true, true);
    const std::size_t home = cluster.homeOf(key);
    expect(cluster.send(home, key, Segment::Syn), "b", "port reused once");
    expect(cluster.send(home, key, Segment::Fin), "b", "finished");
    expect(cluster.send(home, key, Segment::Syn), "b", "port reused twice");
    cluster.run(200ms);
    expect(cluster.send(other, key, Segment::Data), "b", "cache corrected");
}

Test(flowfailure, idle_flow_ends_and_gives_its_permit_back)
{
    FlowCluster cluster(3);
    const FlowKey key = placeOffTable(cluster);
    const std::size_t home = cluster.homeOf(key);
    cr_expect_eq(cluster.vm(home).upstreams.permits[UpstreamName("c")], 1);
    cluster.run(50min);
    cr_expect_eq(cluster.vm(home).placement.held[2], 1);
    expect(cluster.send(0, key, Segment::Data), "c", "kept while quiet");
    cluster.run(61min);
    cr_expect_eq(cluster.vm(home).placement.held[2], 0);
    cr_expect_eq(cluster.vm(home).upstreams.permits[UpstreamName("c")], 0);
    for (std::size_t i = 0; i < 3; ++i) {
        cr_expect_eq(cluster.vm(i).placement.held[2], 0, "replica on vm%zu", i);
    }
}

Test(flowfailure, partition_between_data_centres_and_healing)
{
    FlowCluster cluster(0);
    for (int i = 0; i < 4; ++i) {
        cluster.start(i < 3 ? "obuda" : "ujpest");
    }
    cluster.join();
    cluster.run(70s);
    const FlowKey old = FlowCluster::flow(1);
    expect(cluster.send(0, old, Segment::Syn), "a", "before");
    expect(cluster.send(3, old, Segment::Data), "a", "cached on the far side");
    // VM 3 is alone in ujpest, whose only upstream is b.
    for (std::size_t i = 0; i < 3; ++i) {
        cluster.network.cut.insert({cluster.vm(i).name, cluster.vm(3).name});
    }
    cluster.vm(3).membership.confident = false;
    const std::string early = cluster.send(3, FlowCluster::flow(2), Segment::Syn);
    cr_expect(early == "FlowDoubtful" || early == "lost" || early == "a", "%s", early.c_str());
    for (std::size_t i = 0; i < 3; ++i) {
        membership::Member dead = *cluster.vm(3).membership.find(cluster.vm(i).name);
        dead.state = MemberState::Dead;
        cluster.vm(3).membership.set(dead);
    }
    cluster.run(10s);
    const FlowKey local = FlowCluster::flow(3);
    expect(cluster.send(3, local, Segment::Syn), "b", "served by its own data centre");
    expect(cluster.send(3, local, Segment::Data), "b", "established there");
    expect(cluster.send(3, FlowCluster::flow(4), Segment::Data), "FlowDoubtful", "unknown flow");
    cr_expect_eq(cluster.vm(3).placement.held[1], 1);
    expect(cluster.send(0, old, Segment::Data), "a", "majority goes on");
    // Healing: the record keeps the slot contested on all VMs.
    cluster.network.cut.clear();
    cluster.vm(3).membership.confident = true;
    cluster.join();
    cluster.setViews(0, 0, true, true);
    cluster.run(5s);
    expectEverywhere(cluster, local, "b", "healed");
    expectEverywhere(cluster, old, "a", "old flow");
}

Test(flowfailure, datagram_flows_have_no_first_packet)
{
    FlowCluster cluster(2);
    for (std::size_t i = 0; i < 2; ++i) {
        cluster.vm(i).placement.services[0].protocol = settings::Protocol::Udp;
    }
    cluster.setViews(0, 1, true, true);
    FlowKey key = FlowCluster::flow(1);
    key.protocol = 17;
    expectEverywhere(cluster, key, "a", "established");
    for (std::size_t i = 0; i < 2; ++i) {
        cluster.vm(i).upstreams.states[UpstreamName("a")] = UpstreamState::Gone;
    }
    key.caller.port = 30000;
    expectEverywhere(cluster, key, "b", "oldest upstream is gone");
}
