#include "flows/tests/flowcluster.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;
using upstreams::UpstreamState;

namespace {
void expect(const std::string &got, const std::string &wanted, const char *what)
{
    cr_expect(got == wanted, "%s: wanted %s, got %s", what, wanted.c_str(), got.c_str());
}
}

//! A first packet at the home of a flow, for one state of the slot and of upstream b.
struct FirstPacketCase
{
    bool contested;
    bool settled;
    UpstreamState state;
    bool paced;
    bool dataCentreOut;
    char outcome[24];
};

ParameterizedTestParameters(flowrouter, first_packet)
{
    static FirstPacketCase cases[] = {
        {false, false, UpstreamState::Ready, false, false, "b"},
        {false, false, UpstreamState::Ready, true, false, "FlowUpstreamPaced"},
        {false, false, UpstreamState::Leaving, false, false, "FlowNoUpstream"},
        {false, false, UpstreamState::Ready, false, true, "FlowNoUpstream"},
        {true, false, UpstreamState::Ready, false, false, "b"},
        {true, false, UpstreamState::Starting, false, false, "b"},
        {true, false, UpstreamState::Leaving, false, false, "FlowMarkUnsettled"},
        {true, false, UpstreamState::Ready, true, false, "FlowMarkUnsettled"},
        {true, true, UpstreamState::Leaving, false, false, "a"},
        {true, true, UpstreamState::Shedding, false, false, "a"},
        {true, true, UpstreamState::Gone, false, false, "a"},
        {true, true, UpstreamState::Ready, true, false, "a"},
        {true, true, UpstreamState::Ready, false, true, "a"},
    };
    return cr_make_param_array(FirstPacketCase, cases, sizeof(cases) / sizeof(FirstPacketCase));
}

ParameterizedTest(FirstPacketCase *row, flowrouter, first_packet)
{
    FlowCluster cluster(3);
    cluster.setViews(1, 1, row->contested, row->settled);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.vm(i).upstreams.states[UpstreamName("b")] = row->state;
        cluster.vm(i).placement.entries[1].dataCentreOut = row->dataCentreOut;
        if (row->paced) {
            cluster.vm(i).upstreams.paced.insert(UpstreamName("b"));
        }
    }
    const FlowKey key = FlowCluster::flow(1);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        expect(cluster.send(i, key, Segment::Syn), row->outcome, "first packet");
    }
}

Test(flowrouter, unknown_address_is_dropped)
{
    FlowCluster cluster(1);
    FlowKey key = FlowCluster::flow(1);
    key.service.port = 80;
    expect(cluster.send(0, key, Segment::Syn), "PacketUnknownAddress", "wrong port");
}

Test(flowrouter, unrecorded_flow_of_a_contested_slot_is_on_the_oldest)
{
    FlowCluster cluster(3);
    cluster.setViews(0, 1, true, true);
    const FlowKey key = FlowCluster::flow(1);
    expect(cluster.send(0, key, Segment::Data), "a", "established");
    const FlowKey fresh = FlowCluster::flow(2);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        expect(cluster.send(i, fresh, Segment::Syn), "b", "new");
        expect(cluster.send(i, fresh, Segment::Data), "b", "recorded");
    }
    const std::size_t home = cluster.homeOf(key);
    cr_expect(cluster.vm(home).placement.oldestUses > 0);
    cr_expect_eq(cluster.vm(cluster.homeOf(fresh)).placement.held[1], 1);
}

Test(flowrouter, cache_decides_only_while_fresh)
{
    FlowCluster cluster(3);
    const FlowKey key = FlowCluster::flow(1);
    const std::size_t other = cluster.otherThanHome(key);
    expect(cluster.send(other, key, Segment::Data), "a", "uncontested");
    cluster.setViews(1, 1, true, true);
    cluster.run(20s);
    expect(cluster.send(other, key, Segment::Data), "a", "cached");
    cluster.run(31s);
    expect(cluster.send(other, key, Segment::Data), "b", "by the home's tables");
}

Test(flowrouter, data_centre_out_gets_nothing)
{
    FlowCluster cluster(2);
    const FlowKey key = FlowCluster::flow(1);
    expect(cluster.send(0, key, Segment::Syn), "a", "placed");
    cluster.vm(0).placement.entries[0].dataCentreOut = true;
    expect(cluster.send(0, key, Segment::Data), "FlowGivenUp", "given up");
}

Test(flowrouter, relayed_packet_is_not_relayed_back)
{
    FlowCluster cluster(3);
    cluster.setViews(0, 1, true, true);
    const FlowKey key = FlowCluster::flow(1);
    const std::size_t other = cluster.otherThanHome(key);
    auto packet = testPacket(key, Segment::Data);
    const auto verdict =
        cluster.vm(other).router.route(packet, PacketSource::Relay, cluster.clock.now());
    cr_expect(verdict.reason == ResultCode::FlowRelayLoop);
}
