// Forwarding rate through the flow router over that of a bare relay with the same system calls.
#include "flows/tests/flowcluster.h"
#include "net/batchsocket.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <cstdio>
#include <functional>
#include <thread>

ABSL_FLAG(int, network, 11, "Loopback network 127.N.0.0/16 to use");
ABSL_FLAG(int, rounds, 10, "Rounds of a second for each way");

namespace radishladder::flows {
namespace {
constexpr std::uint16_t kPort = 9000;
constexpr std::size_t kFlows = 1000;
constexpr std::size_t kBurst = 64;
constexpr std::chrono::seconds kRound{1};

using Decide = std::function<net::Endpoint(std::span<std::uint8_t>)>;

net::Endpoint endpointOf(std::uint32_t host)
{
    const auto network = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_network));
    return {0x7f000000 | network << 16 | host, kPort};
}

std::unique_ptr<net::BatchSocket> openSocket(const net::Endpoint &endpoint)
{
    Reason reason;
    auto socket = net::BatchSocket::open(endpoint, reason);
    if (!socket) {
        std::fprintf(stderr, "%s\n", reason.detail.c_str());
        std::exit(2);
    }
    return socket;
}

//! Datagrams that one thread receives, decides and sends in a second of its processor time.
double measure(const std::vector<std::vector<std::uint8_t>> &packets, const Decide &decide)
{
    const net::Endpoint relay = endpointOf(1);
    auto source = openSocket(endpointOf(2));
    auto forwarder = openSocket(relay);
    auto sink = openSocket(endpointOf(3));
    std::size_t next = 0;
    std::uint64_t forwarded = 0;
    std::chrono::nanoseconds spent{0};
    const auto end = std::chrono::steady_clock::now() + kRound;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t i = 0; i < kBurst; ++i) {
            source->send(packets[next], relay);
            next = next + 1 == packets.size() ? 0 : next + 1;
        }
        source->flush();
        // Only the forwarder's own work is timed, so that other load on the machine matters less.
        const auto start = std::chrono::steady_clock::now();
        forwarded += forwarder->receive([&](std::span<std::uint8_t> packet, const net::Endpoint &) {
            forwarder->send(packet, decide(packet));
        });
        spent += std::chrono::steady_clock::now() - start;
        sink->receive([](std::span<std::uint8_t>, const net::Endpoint &) {});
    }
    return static_cast<double>(forwarded) / std::chrono::duration<double>(spent).count();
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

int compare()
{
    FlowCluster cluster(1);
    const net::Endpoint sink = endpointOf(3);
    for (placement::UpstreamEntry &entry : cluster.vm(0).placement.entries) {
        entry.upstream.tunnel = sink;
    }
    std::vector<std::vector<std::uint8_t>> packets;
    for (std::uint16_t n = 0; n < kFlows; ++n) {
        packets.push_back(testPacket(FlowCluster::flow(n), Segment::Data));
    }
    std::vector<double> bare;
    std::vector<double> routed;
    std::vector<double> ratios;
    for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
        bare.push_back(measure(packets, [sink](std::span<std::uint8_t>) { return sink; }));
        routed.push_back(measure(packets, [&cluster](std::span<std::uint8_t> packet) {
            return cluster.vm(0).router.route(packet, PacketSource::Fabric, cluster.clock.now()).to;
        }));
        ratios.push_back(routed.back() / bare.back());
    }
    std::printf("bare relay %.0f/s, flow router %.0f/s, ratio %.3f (medians of %zu rounds)\n",
                median(bare), median(routed), median(ratios), ratios.size());
    constexpr double kLeastRatio = 0.8;
    return median(ratios) >= kLeastRatio ? 0 : 1;
}
}
}

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return radishladder::flows::compare();
}
