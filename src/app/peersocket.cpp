#include "app/peersocket.h"

#include "global/iclock.h"
#include "global/reason.h"
#include "membership/imembership.h"
#include "membership/types/relayoffer.h"
#include "net/batchsocket.h"
#include "net/bytereader.h"
#include "net/ieventloop.h"
#include "net/types/trafficmeter.h"
#include "telemetry/ieventlog.h"
#include "telemetry/types/logentry.h"

#include <algorithm>

namespace radishladder::app {
namespace {
using telemetry::LogEntry;
using telemetry::LogKind;

//! Time between attempts to open the socket.
constexpr std::chrono::milliseconds kStartInterval{10000};

//! Members change rarely, and their list is polled every few seconds.
constexpr std::chrono::milliseconds kMemberUpdateInterval{1000};
}

PeerSocket::PeerSocket(const Parts &parts, VmName self, const net::Endpoint &local)
    : parts(parts), self(std::move(self)), local(local)
{ }

PeerSocket::~PeerSocket()
{
    if (this->socket) {
        this->parts.loop.unwatch(this->socket->descriptor());
    }
}

void PeerSocket::addReceiver(std::uint16_t magic, Receiver receiver)
{
    this->receivers[magic] = std::move(receiver);
}

void PeerSocket::start()
{
    Reason reason;
    this->socket = net::BatchSocket::open(this->local, reason);
    if (!this->socket) {
        this->nextStart = this->parts.clock.now() + kStartInterval;
        this->parts.log.write(LogEntry(LogKind::State, "peers.failed")
                                  .text("code", resultCodeName(reason.code))
                                  .text("detail", reason.detail));
        return;
    }
    this->socket->measureQueueTime();
    this->parts.loop.watchReadable(this->socket->descriptor(), [this]() { this->receive(); });
}

void PeerSocket::receive()
{
    this->socket->receive(
        [this](std::span<const std::uint8_t> datagram, const net::Endpoint &sender) {
            this->parts.traffic.receivedBytes += datagram.size();
            if (datagram.size() < sizeof(std::uint16_t)) {
                return;
            }
            const auto magic = net::ByteReader(datagram).read<std::uint16_t>();
            const auto receiver = this->receivers.find(magic);
            if (receiver != this->receivers.end()) {
                receiver->second(datagram, sender);
            }
        });
}

void PeerSocket::tick()
{
    const TimePoint now = this->parts.clock.now();
    if (!this->socket && now >= this->nextStart) {
        this->start();
    }
    if (now >= this->nextMemberUpdate) {
        this->nextMemberUpdate = now + kMemberUpdateInterval;
        this->updateMembers();
    }
}

void PeerSocket::updateMembers()
{
    const membership::IMembership &membership = this->parts.membership;
    this->peers.clear();
    for (const VmName &member : membership.members()) {
        const auto offer = membership.relayOfferOf(member);
        if (member != this->self && offer) {
            this->peers.push_back(this->peerAt(offer->address.address));
        }
    }
}

bool PeerSocket::isSelfOrMember(const net::Endpoint &vm) const
{
    return vm == this->local || std::ranges::find(this->peers, vm) != this->peers.end();
}

std::chrono::nanoseconds PeerSocket::queueTime() const
{
    return this->socket->queueTime();
}

void PeerSocket::sendToMembers(std::span<const std::uint8_t> datagram)
{
    for (const net::Endpoint &peer : this->peers) {
        this->send(datagram, peer);
    }
}

void PeerSocket::send(std::span<const std::uint8_t> datagram, const net::Endpoint &peer)
{
    if (this->socket) {
        this->socket->send(datagram, peer);
        this->parts.traffic.sentBytes += datagram.size();
    }
}

void PeerSocket::flush()
{
    if (this->socket) {
        this->socket->flush();
    }
}
}
