#include "membership/peertransport.h"

#include "global/hash.h"
#include "membership/internal/datagramcipher.h"
#include "membership/internal/replaywindow.h"
#include "membership/types/listedvm.h"
#include "net/idatagramsocket.h"
#include "telemetry/icounter.h"
#include "telemetry/imetrics.h"

#include <map>

namespace radishladder::membership {
namespace {
constexpr std::size_t kDatagramBytes = 1400;
constexpr std::size_t kNameBytes = 64;
constexpr std::size_t kOverheadBytes =
    DatagramCipher::kHeaderBytes + DatagramCipher::kTagBytes + 1 + kNameBytes;

//! Latest known start of a sender and what was received of it.
struct Sender
{
    std::uint64_t start = 0;
    ReplayWindow window;
};
}

struct PeerTransport::State
{
    VmName self;
    std::uint64_t start;
    DatagramCipher cipher;
    net::IDatagramSocket &socket;
    telemetry::IMetrics &metrics;
    telemetry::ICounter &bytesSent;
    telemetry::ICounter &bytesReceived;
    std::uint64_t counter = 0;
    std::map<VmName, net::Endpoint> addresses;
    std::map<std::uint64_t, Sender> senders;
    std::map<MessageKind, Handler> handlers;
    std::map<ResultCode, telemetry::ICounter *> drops;
    std::map<MessageKind, telemetry::ICounter *> bytesByKind;

    void countSent(MessageKind kind, std::size_t bytes)
    {
        this->bytesSent.add(bytes);
        telemetry::ICounter *&counter = this->bytesByKind[kind];
        if (counter == nullptr) {
            counter = &this->metrics.counter("control_kind_bytes_sent_total",
                                             {{"kind", std::to_string(static_cast<int>(kind))}});
        }
        counter->add(bytes);
    }
};

PeerTransport::PeerTransport(VmName self, std::uint64_t start, const std::vector<std::string> &keys,
                             net::IDatagramSocket &socket, telemetry::IMetrics &metrics)
    : state(std::make_unique<State>(State{
        .self = std::move(self),
        .start = start,
        .cipher = DatagramCipher(keys),
        .socket = socket,
        .metrics = metrics,
        .bytesSent = metrics.counter("control_bytes_sent_total"),
        .bytesReceived = metrics.counter("control_bytes_received_total"),
    }))
{ }

PeerTransport::~PeerTransport() = default;

void PeerTransport::useAddresses(const std::vector<ListedVm> &list)
{
    this->state->addresses.clear();
    for (const ListedVm &vm : list) {
        this->state->addresses[vm.name] = vm.peer;
    }
}

std::size_t PeerTransport::maxPayloadBytes() const
{
    return kDatagramBytes - kOverheadBytes;
}

void PeerTransport::send(const VmName &to, MessageKind kind, std::span<const std::uint8_t> payload)
{
    const auto address = this->state->addresses.find(to);
    if (address == this->state->addresses.end() || to == this->state->self) {
        return;
    }
    if (payload.size() > this->maxPayloadBytes()) {
        this->drop(ResultCode::MessageTooLarge);
        return;
    }
    // The name travels inside, so that a VM that is not on the receiver's list yet is known too.
    const std::string name = this->state->self.str().substr(0, kNameBytes);
    std::vector<std::uint8_t> plain;
    plain.reserve(1 + name.size() + payload.size());
    plain.push_back(static_cast<std::uint8_t>(name.size()));
    plain.insert(plain.end(), name.begin(), name.end());
    plain.insert(plain.end(), payload.begin(), payload.end());
    const DatagramHeader header{.kind = kind,
                                .sender = hash64(name),
                                .start = this->state->start,
                                .counter = ++this->state->counter};
    const auto datagram = this->state->cipher.seal(header, hash64(to.str()), plain);
    this->state->countSent(kind, datagram.size());
    this->state->socket.send(datagram, address->second);
}

void PeerTransport::handle(MessageKind kind, Handler handler)
{
    this->state->handlers[kind] = std::move(handler);
}

void PeerTransport::receive()
{
    this->state->socket.receive([this](std::span<std::uint8_t> datagram, const net::Endpoint &) {
        this->receiveOne(datagram);
    });
    this->flush();
}

void PeerTransport::flush()
{
    this->state->socket.flush();
}

void PeerTransport::receiveOne(std::span<const std::uint8_t> datagram)
{
    this->state->bytesReceived.add(datagram.size());
    const ResultCode code = this->dispatch(datagram);
    if (code != ResultCode::Ok) {
        this->drop(code);
    }
}

ResultCode PeerTransport::dispatch(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() > kDatagramBytes) {
        return ResultCode::MessageTooLarge;
    }
    const auto header = this->state->cipher.header(datagram);
    if (!header) {
        return this->state->cipher.lastReason().code;
    }
    const auto plain = this->state->cipher.open(datagram, hash64(this->state->self.str()));
    if (!plain) {
        return this->state->cipher.lastReason().code;
    }
    const std::size_t nameBytes = plain->empty() ? 0 : plain->front();
    if (nameBytes == 0 || plain->size() < 1 + nameBytes) {
        return ResultCode::MessageMalformed;
    }
    const std::string name(plain->begin() + 1,
                           plain->begin() + 1 + static_cast<std::ptrdiff_t>(nameBytes));
    if (hash64(name) != header->sender) {
        return ResultCode::MessageMalformed;
    }
    Sender &sender = this->state->senders[header->sender];
    if (header->start > sender.start) {
        sender = {.start = header->start};
    }
    if (header->start < sender.start || !sender.window.accept(header->counter)) {
        return ResultCode::MessageReplayed;
    }
    const auto handler = this->state->handlers.find(header->kind);
    if (handler == this->state->handlers.end()) {
        return ResultCode::MessageMalformed;
    }
    handler->second(VmName(name), std::span(*plain).subspan(1 + nameBytes));
    return ResultCode::Ok;
}

void PeerTransport::drop(ResultCode code)
{
    telemetry::ICounter *&counter = this->state->drops[code];
    if (counter == nullptr) {
        counter = &this->state->metrics.counter("messages_dropped_total",
                                                {{"reason", std::string(resultCodeName(code))}});
    }
    counter->add();
}
}
