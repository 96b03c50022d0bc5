// Time of one routing decision by kind of packet and number of flows.
#include "flows/tests/flowcluster.h"

#include <benchmark/benchmark.h>

namespace radishladder::flows {
namespace {
constexpr std::uint32_t kCallers = 0x0a000000;
constexpr std::uint32_t kPortsPerCaller = 50000;

FlowKey keyOf(std::uint32_t n)
{
    FlowKey key = FlowCluster::flow(0);
    key.caller = {kCallers + n / kPortsPerCaller,
                  static_cast<std::uint16_t>(1024 + n % kPortsPerCaller)};
    return key;
}

FlowOptions benchmarkOptions()
{
    FlowOptions options;
    options.cacheCapacity = 1U << 21;
    options.recordCapacity = 1100000;
    return options;
}

//! Packets in an order that defeats the processor's prefetching.
std::vector<std::vector<std::uint8_t>> packetsOf(std::uint32_t flows, Segment segment)
{
    constexpr std::uint64_t kStride = 7919;
    std::vector<std::vector<std::uint8_t>> packets;
    packets.reserve(flows);
    for (std::uint64_t i = 0; i < flows; ++i) {
        packets.push_back(
            testPacket(keyOf(static_cast<std::uint32_t>(i * kStride % flows)), segment));
    }
    return packets;
}

void route(benchmark::State &state, FlowCluster &cluster,
           const std::vector<std::vector<std::uint8_t>> &packets)
{
    IFlowRouter &router = cluster.vm(0).router;
    std::array<std::uint8_t, 64> buffer{};
    std::size_t next = 0;
    std::uint64_t dropped = 0;
    for (auto _ : state) {
        const auto &packet = packets[next];
        next = next + 1 == packets.size() ? 0 : next + 1;
        std::copy(packet.begin(), packet.end(), buffer.begin());
        const auto verdict =
            router.route({buffer.data(), packet.size()}, PacketSource::Fabric, cluster.clock.now());
        dropped += verdict.reason == ResultCode::Ok ? 0 : 1;
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["dropped"] = static_cast<double>(dropped);
}

void warm(FlowCluster &cluster, const std::vector<std::vector<std::uint8_t>> &packets)
{
    for (const auto &packet : packets) {
        auto copy = packet;
        cluster.vm(0).router.route(copy, PacketSource::Fabric, cluster.clock.now());
    }
}

//! Flow in the cache, slot without contest.
void knownFlow(benchmark::State &state)
{
    FlowCluster cluster(1, benchmarkOptions());
    const auto packets = packetsOf(static_cast<std::uint32_t>(state.range(0)), Segment::Data);
    warm(cluster, packets);
    route(state, cluster, packets);
}

//! Flow that is not in the cache, slot without contest.
void unambiguousFlow(benchmark::State &state)
{
    FlowOptions options = benchmarkOptions();
    options.cacheCapacity = 4;
    FlowCluster cluster(1, options);
    route(state, cluster, packetsOf(static_cast<std::uint32_t>(state.range(0)), Segment::Data));
}

//! Flow with a record at its home, which is this VM.
void contestedFlow(benchmark::State &state)
{
    FlowCluster cluster(1, benchmarkOptions());
    cluster.setViews(0, 1, true, true);
    const auto flows = static_cast<std::uint32_t>(state.range(0));
    warm(cluster, packetsOf(flows, Segment::Syn));
    route(state, cluster, packetsOf(flows, Segment::Data));
}

//! First packets, slot without contest.
void newFlow(benchmark::State &state)
{
    FlowOptions options = benchmarkOptions();
    options.cacheCapacity = 4;
    FlowCluster cluster(1, options);
    route(state, cluster, packetsOf(static_cast<std::uint32_t>(state.range(0)), Segment::Syn));
}

BENCHMARK(knownFlow)->Arg(1000)->Arg(100000)->Arg(1000000);
BENCHMARK(unambiguousFlow)->Arg(1000)->Arg(100000)->Arg(1000000);
BENCHMARK(contestedFlow)->Arg(1000)->Arg(100000)->Arg(1000000);
BENCHMARK(newFlow)->Arg(1000)->Arg(100000)->Arg(1000000);
}
}

BENCHMARK_MAIN();
