#include "membership/peertransport.h"
#include "membership/types/listedvm.h"
#include "net/idatagramsocket.h"
#include "telemetry/icounter.h"
#include "telemetry/prometheusmetrics.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <rapidcheck.h>

using namespace radishladder;
using namespace radishladder::membership;

namespace {
const std::string kOldKey(64, '1');
const std::string kNewKey(64, '2');
const VmName kSender("vm-a");
const VmName kReceiver("vm-b");
const VmName kThird("vm-c");

//! Keeps what is sent and hands out what the test puts in.
class FakeSocket : public net::IDatagramSocket
{
public:
    std::size_t receive(const Handler &handler) override
    {
        auto arrived = std::exchange(this->incoming, {});
        for (auto &datagram : arrived) {
            handler(datagram, {});
        }
        return arrived.size();
    }
    void send(std::span<const std::uint8_t> payload, const net::Endpoint &) override
    {
        this->sent.emplace_back(payload.begin(), payload.end());
    }
    void flush() override { }
    int descriptor() const override { return -1; }

    std::vector<std::vector<std::uint8_t>> sent;
    std::vector<std::vector<std::uint8_t>> incoming;
};

struct Vm
{
    Vm(VmName name, const std::vector<std::string> &keys, std::uint64_t start = 1)
        : transport(std::move(name), start, keys, this->socket, this->metrics)
    {
        this->transport.useAddresses({{.name = kSender}, {.name = kReceiver}, {.name = kThird}});
        this->transport.handle(MessageKind::Facts, [this](const VmName &from, auto payload) {
            this->from = from;
            this->received.emplace_back(payload.begin(), payload.end());
        });
    }

    std::vector<std::uint8_t> sealed(std::vector<std::uint8_t> payload,
                                     const VmName &to = kReceiver)
    {
        this->transport.send(to, MessageKind::Facts, payload);
        return this->socket.sent.back();
    }
    void deliver(std::vector<std::uint8_t> datagram)
    {
        this->socket.incoming.push_back(std::move(datagram));
        this->transport.receive();
    }
    std::uint64_t dropped(const char *reason)
    {
        return this->metrics.counter("messages_dropped_total", {{"reason", reason}}).value();
    }

    FakeSocket socket;
    telemetry::PrometheusMetrics metrics;
    PeerTransport transport;
    VmName from;
    std::vector<std::vector<std::uint8_t>> received;
};

struct KeyRow
{
    int senderKeys;
    int receiverKeys;
    bool accepted;
};
}

// The steps of a key change: 0 old, 1 old then new, 2 new then old, 3 new.
ParameterizedTestParameters(peertransport, keys)
{
    static KeyRow rows[] = {{0, 0, true},  {0, 1, true}, {1, 0, true}, {1, 2, true},
                            {2, 1, true},  {2, 3, true}, {3, 2, true}, {0, 3, false},
                            {3, 0, false}, {2, 0, false}};
    return cr_make_param_array(KeyRow, rows, sizeof rows / sizeof *rows);
}

ParameterizedTest(KeyRow *row, peertransport, keys)
{
    const std::vector<std::vector<std::string>> steps = {
        {kOldKey}, {kOldKey, kNewKey}, {kNewKey, kOldKey}, {kNewKey}};
    Vm sender(kSender, steps[static_cast<std::size_t>(row->senderKeys)]);
    Vm receiver(kReceiver, steps[static_cast<std::size_t>(row->receiverKeys)]);
    receiver.deliver(sender.sealed({1, 2, 3}));
    cr_assert_eq(receiver.received.size(), row->accepted ? 1 : 0);
    cr_assert_eq(receiver.dropped("MessageUnauthenticated"), row->accepted ? 0 : 1);
    cr_assert(!row->accepted || receiver.from == kSender);
}

Test(peertransport, replayed_datagrams_are_dropped)
{
    Vm sender(kSender, {kOldKey});
    Vm receiver(kReceiver, {kOldKey});
    const auto first = sender.sealed({1});
    const auto second = sender.sealed({2});
    for (const auto &datagram : {second, first, first, second}) {
        receiver.deliver(datagram);
    }
    cr_assert_eq(receiver.received.size(), 2);
    cr_assert_eq(receiver.dropped("MessageReplayed"), 2);
}

Test(peertransport, datagrams_of_an_earlier_start_are_dropped)
{
    Vm before(kSender, {kOldKey}, 1);
    Vm after(kSender, {kOldKey}, 2);
    Vm receiver(kReceiver, {kOldKey});
    const auto old = before.sealed({1});
    receiver.deliver(after.sealed({2}));
    receiver.deliver(old);
    cr_assert_eq(receiver.received.size(), 1);
    cr_assert_eq(receiver.dropped("MessageReplayed"), 1);
}

Test(peertransport, a_datagram_for_another_vm_does_not_open)
{
    Vm sender(kSender, {kOldKey});
    Vm third(kThird, {kOldKey});
    third.deliver(sender.sealed({1}, kReceiver));
    cr_assert_eq(third.dropped("MessageUnauthenticated"), 1);
}

Test(peertransport, sizes_versions_and_kinds_are_checked)
{
    Vm sender(kSender, {kOldKey});
    Vm receiver(kReceiver, {kOldKey});
    sender.transport.send(kReceiver, MessageKind::Facts,
                          std::vector<std::uint8_t>(sender.transport.maxPayloadBytes() + 1));
    cr_assert_eq(sender.dropped("MessageTooLarge"), 1);
    receiver.deliver(std::vector<std::uint8_t>(2000));
    cr_assert_eq(receiver.dropped("MessageTooLarge"), 1);
    receiver.deliver(std::vector<std::uint8_t>(41, 1));
    sender.transport.send(kReceiver, MessageKind::KeyClaim, std::vector<std::uint8_t>(4));
    receiver.deliver(sender.socket.sent.back());
    cr_assert_eq(receiver.dropped("MessageMalformed"), 2);
    auto datagram = sender.sealed({1});
    datagram[0] = 9;
    receiver.deliver(datagram);
    cr_assert_eq(receiver.dropped("MessageVersionUnknown"), 1);
    cr_assert(receiver.received.empty());
}

Test(peertransport, altered_datagrams_are_never_accepted)
{
    Vm sender(kSender, {kOldKey});
    Vm receiver(kReceiver, {kOldKey});
    cr_assert(rc::check([&](const std::vector<std::uint8_t> &payload) {
        auto datagram = sender.sealed(payload);
        const auto at = *rc::gen::inRange<std::size_t>(0, datagram.size());
        datagram[at] ^= *rc::gen::inRange<std::uint8_t>(1, 255);
        const auto before = receiver.received.size();
        receiver.deliver(datagram);
        RC_ASSERT(receiver.received.size() == before);
    }));
}

Test(peertransport, bytes_are_counted)
{
    Vm sender(kSender, {kOldKey});
    Vm receiver(kReceiver, {kOldKey});
    const auto datagram = sender.sealed({1});
    receiver.deliver(datagram);
    cr_assert_eq(sender.metrics.counter("control_bytes_sent_total").value(), datagram.size());
    cr_assert_eq(receiver.metrics.counter("control_bytes_received_total").value(), datagram.size());
}
