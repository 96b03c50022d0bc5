#include "flows/sharedflowcodec.h"
#include "flows/sharedflows.h"
#include "flows/types/sharedflowdatagram.h"

#include <array>
#include <criterion/criterion.h>

using namespace radishladder;
using namespace radishladder::flows;
using namespace std::chrono_literals;

namespace {
const std::chrono::steady_clock::time_point kNow{std::chrono::hours(1)};

SharedFlowDatagram datagramOf(std::size_t flows)
{
    SharedFlowDatagram datagram;
    for (std::size_t i = 0; i < flows; ++i) {
        datagram.flows.emplace_back(FlowKey{{9, static_cast<std::uint16_t>(i)}, {1, 80}},
                                    SharedFlow{.upstream = {0x1122334455667788U},
                                               .initialSequence = 0xfffffff0U,
                                               .isOpen = i % 2 == 0,
                                               .openingSince = kNow - 250ms});
    }
    return datagram;
}
}

Test(sharedflowcodec, decodes_what_it_encodes)
{
    for (const std::size_t count : {std::size_t{0}, std::size_t{1}, kMaxFlowsPerDatagram}) {
        SharedFlowDatagram sent = datagramOf(count);
        sent.isRequest = count == 0;
        std::array<std::uint8_t, kMaxSharedFlowBytes> out{};
        const std::size_t size = encodeSharedFlows(sent, kNow, out);
        const auto received = decodeSharedFlows(std::span(out).first(size), kNow);
        cr_assert(received.has_value());
        cr_expect_eq(received->isRequest, sent.isRequest);
        cr_assert_eq(received->flows.size(), count);
        for (std::size_t i = 0; i < count; ++i) {
            const auto &[key, flow] = received->flows.at(i);
            cr_expect(key == sent.flows.at(i).first);
            cr_expect_eq(flow.upstream.value, 0x1122334455667788U);
            cr_expect_eq(flow.initialSequence, 0xfffffff0U);
            cr_expect_eq(flow.isOpen, i % 2 == 0);
            cr_expect(flow.openingSince == kNow - 250ms);
        }
    }
}

Test(sharedflowcodec, rejects_damaged_datagrams)
{
    struct Row
    {
        const char *name;
        std::size_t offset;
        std::uint8_t value;
        int extraBytes;
    };
    for (const Row &row :
         {Row{"magic", 0, 0, 0}, Row{"version", 2, 9, 0}, Row{"request", 3, 2, 0},
          Row{"count", 4, 2, 0}, Row{"too many", 4, 255, 0}, Row{"state", 29, 2, 0},
          Row{"age", 30, 255, 0}, Row{"truncated", 0, 0x52, -1}, Row{"too long", 0, 0x52, 1}}) {
        std::array<std::uint8_t, kMaxSharedFlowBytes> out{};
        const std::size_t size = encodeSharedFlows(datagramOf(1), kNow, out);
        out.at(row.offset) = row.value;
        const std::size_t changed = size + static_cast<std::size_t>(row.extraBytes);
        cr_expect(!decodeSharedFlows(std::span(out).first(changed), kNow), "%s", row.name);
        SharedFlows flows(10);
        cr_expect(!flows.receive(std::span(out).first(changed), kNow, [](auto) {}), "%s", row.name);
        cr_expect_eq(flows.size(), 0U, "%s", row.name);
    }
}

Test(sharedflowcodec, a_request_is_answered_with_all_flows_in_datagrams_that_fit)
{
    SharedFlows flows(1000);
    const SharedFlowDatagram known = datagramOf(70);
    for (const auto &[key, flow] : known.flows) {
        flows.announce(key, flow, kNow);
    }
    std::array<std::uint8_t, kMaxSharedFlowBytes> out{};
    SharedFlows starting(1000);
    int datagrams = 0;
    flows.receive(std::span(out).first(SharedFlows::request(out, kNow)), kNow, [&](auto response) {
        ++datagrams;
        cr_expect(starting.receive(response, kNow, [](auto) {}));
    });
    cr_expect_eq(datagrams, 3);
    cr_expect_eq(starting.size(), 70U);
}
