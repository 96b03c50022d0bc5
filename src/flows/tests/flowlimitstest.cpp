#include "flows/tests/flowcluster.h"

#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

namespace {
void expect(const std::string &got, const std::string &wanted, const char *what)
{
    cr_expect(got == wanted, "%s: wanted %s, got %s", what, wanted.c_str(), got.c_str());
}
}

Test(flowlimits, full_table_refuses_new_flows_and_keeps_exceptions)
{
    FlowOptions options = FlowCluster::smallOptions();
    options.recordCapacity = 20;
    FlowCluster cluster(1, options);
    cluster.setViews(0, 1, true, true);
    std::vector<FlowKey> placed;
    int refused = 0;
    for (std::uint16_t n = 0; n < 30; ++n) {
        const std::string outcome = cluster.send(0, FlowCluster::flow(n), Segment::Syn);
        if (outcome == "b") {
            placed.push_back(FlowCluster::flow(n));
        } else {
            expect(outcome, "FlowTableFull", "no room");
            ++refused;
        }
    }
    cr_expect_eq(placed.size(), 20U);
    cr_expect_eq(refused, 10);
    for (const FlowKey &key : placed) {
        expect(cluster.send(0, key, Segment::Data), "b", "kept");
    }
}

Test(flowlimits, control_bytes_stay_within_the_budget)
{
    FlowOptions options = FlowCluster::smallOptions();
    options.replicationBytesPerSecond = 64;
    FlowCluster cluster(3, options);
    cluster.setViews(0, 1, true, true);
    for (std::uint16_t n = 0; n < 900; ++n) {
        cluster.send(n % 3, FlowCluster::flow(n), Segment::Syn);
    }
    cluster.network.bytes = 0;
    cluster.run(20s);
    const std::size_t most = 3 * options.replicationBytesPerSecond * 24;
    cr_expect_leq(cluster.network.bytes, most, "%zu bytes", cluster.network.bytes);
    cr_expect_gt(cluster.network.bytes, most / 8);
}
