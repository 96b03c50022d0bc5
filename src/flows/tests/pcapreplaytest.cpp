#include "flows/packetparser.h"
#include "flows/tests/flowcluster.h"

#include <criterion/criterion.h>
#include <map>
#include <pcap/pcap.h>
#include <set>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

namespace {
constexpr const char *kCapture = "src/flows/tests/data/http.pcap";
constexpr std::size_t kEthernetHeaderBytes = 14;
constexpr net::Endpoint kCapturedService{0x7f0b0009, 8088};

//! IPv4 packets of a capture on the loopback device, without the link header.
std::vector<std::vector<std::uint8_t>> readCapture()
{
    char error[PCAP_ERRBUF_SIZE] = "";
    pcap_t *file = pcap_open_offline(kCapture, error);
    cr_assert_not_null(file, "%s", error);
    cr_assert_eq(pcap_datalink(file), DLT_EN10MB);
    std::vector<std::vector<std::uint8_t>> packets;
    pcap_pkthdr *header = nullptr;
    const std::uint8_t *bytes = nullptr;
    while (pcap_next_ex(file, &header, &bytes) == 1) {
        packets.emplace_back(bytes + kEthernetHeaderBytes, bytes + header->caplen);
    }
    pcap_close(file);
    return packets;
}
}

Test(pcapreplay, each_connection_goes_to_one_upstream)
{
    FlowCluster cluster(3);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cluster.vm(vm).placement.services[0].address = kCapturedService;
    }
    cluster.setViews(0, 0, true, true);
    std::map<FlowKey, std::set<std::string>> upstreams;
    std::size_t replies = 0;
    std::size_t opened = 0;
    std::size_t count = 0;
    for (const auto &packet : readCapture()) {
        PacketParser parser;
        const auto info = parser.parse(packet);
        cr_assert(info.has_value(), "packet %zu", count);
        // The table moves on under the connections.
        const auto current = static_cast<placement::UpstreamIndex>(count / 20 % 3);
        cluster.setViews(0, current, true, true);
        const std::string outcome = cluster.sendRaw(count++ % 3, packet);
        if (info->key.service != kCapturedService) {
            cr_expect(outcome == "PacketUnknownAddress", "%s", outcome.c_str());
            ++replies;
            continue;
        }
        upstreams[info->key].insert(outcome);
        opened += info->opens ? 1 : 0;
        cluster.run(100ms);
    }
    cr_expect_gt(replies, 20U);
    // Six requests, each on a connection of its own.
    cr_expect_eq(opened, 6U, "%zu first packets", opened);
    cr_expect_eq(upstreams.size(), opened, "%zu connections", upstreams.size());
    std::set<std::string> used;
    for (const auto &[key, names] : upstreams) {
        cr_expect_eq(names.size(), 1U, "port %d: %zu outcomes", key.caller.port, names.size());
        cr_expect_eq(names.begin()->size(), 1U);
        used.insert(names.begin(), names.end());
    }
    cr_expect_gt(used.size(), 1U);
}
