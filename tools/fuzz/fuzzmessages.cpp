#include "global/manualclock.h"
#include "global/seededrandom.h"
#include "membership/ipeertransport.h"
#include "membership/membership.h"
#include "membership/peertransport.h"
#include "membership/sharedfacts.h"
#include "membership/types/listedvm.h"
#include "membership/types/member.h"
#include "net/idatagramsocket.h"
#include "telemetry/prometheusmetrics.h"
#include "telemetry/timeline.h"

#include <map>

using namespace radishladder;
using namespace radishladder::membership;

namespace {
//! Delivers one datagram of arbitrary bytes.
class OneDatagramSocket : public net::IDatagramSocket
{
public:
    std::size_t receive(const Handler &handler) override
    {
        handler(this->datagram, {});
        return 1;
    }
    void send(std::span<const std::uint8_t>, const net::Endpoint &) override { }
    void flush() override { }
    int descriptor() const override { return -1; }

    std::vector<std::uint8_t> datagram;
};

//! Hands arbitrary payloads to the handlers as if they were authentic.
class OpenTransport : public IPeerTransport
{
public:
    void send(const VmName &, MessageKind, std::span<const std::uint8_t>) override { }
    void handle(MessageKind kind, Handler handler) override
    {
        this->handlers[kind] = std::move(handler);
    }
    std::size_t maxPayloadBytes() const override { return 1292; }

    std::map<MessageKind, Handler> handlers;
};

struct Vm
{
    Vm()
    {
        this->membership.applyVmList(1, {{.name = VmName("vm-a")}, {.name = VmName("vm-b")}});
        this->membership.tick();
    }

    ManualClock clock;
    SeededRandom random{1};
    telemetry::PrometheusMetrics metrics;
    telemetry::TimeLine timeLine{this->clock, VmName("vm-a"), DataCentreName("a")};
    OpenTransport transport;
    Membership membership{{.name = VmName("vm-a"), .incarnation = 1, .start = 1},
                          this->transport,
                          this->random,
                          this->clock,
                          this->timeLine,
                          this->metrics};
    SharedFacts facts{this->membership, this->transport, this->clock, this->metrics};
};

//! Sends \a bytes through the decoder of sealed datagrams.
void openDatagram(std::span<const std::uint8_t> bytes)
{
    static OneDatagramSocket socket;
    static telemetry::PrometheusMetrics metrics;
    static PeerTransport transport(VmName("vm-a"), 1, {std::string(64, '1')}, socket, metrics);
    socket.datagram.assign(bytes.begin(), bytes.end());
    transport.receive();
}

//! Hands \a bytes to the decoder of one kind of message, chosen by \a selector.
void decodeMessage(std::uint8_t selector, std::span<const std::uint8_t> bytes)
{
    Vm vm;
    auto handler = vm.transport.handlers.begin();
    std::advance(handler, selector % vm.transport.handlers.size());
    handler->second(VmName("vm-b"), bytes);
    vm.clock.advance(std::chrono::milliseconds(50));
    vm.membership.tick();
    vm.facts.tick();
}
}

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::span<const std::uint8_t> payload(data + 1, size - 1);
    openDatagram(payload);
    decodeMessage(data[0], payload);
    return 0;
}
