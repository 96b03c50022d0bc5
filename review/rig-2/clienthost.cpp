#include "clienthost.h"

#include "global/hash.h"
#include "testbed.h"

#include <absl/strings/str_cat.h>

namespace review {
namespace {
using namespace radishladder;
using platform::WirePacket;

constexpr std::uint16_t kClientPort = 8172;
constexpr milliseconds kFirstCopy{200};
constexpr milliseconds kSecondCopy{600};
constexpr milliseconds kConnectTimeout{1400};
constexpr milliseconds kMaxRetransmission{1600};
constexpr milliseconds kDeadline{4000};
constexpr std::size_t kRequestBytes = 900;

//! Greatest distance of a reset's sequence number from the client's last acknowledgement.
constexpr std::uint32_t kResetWindow = 76800;
}

Client::Client(Rig &rig, std::string zone, std::uint32_t address)
    : rig(rig), zone(std::move(zone)), address(address)
{ }

bool Client::start()
{
    Reason reason;
    this->socket = net::BatchSocket::open({this->address, kClientPort}, reason);
    if (this->socket) {
        this->rig.loop.watchReadable(this->socket->descriptor(), [this]() { this->receive(); });
    }
    return this->socket != nullptr;
}

Client::Key Client::keyOf(const net::Endpoint &service, std::uint16_t port) const
{
    return {{this->address, port}, service};
}

Client::Key Client::open(const net::Endpoint &service, const Plan &plan, std::uint16_t port)
{
    const std::uint16_t used = port == 0 ? ++this->lastPort : port;
    auto &slot = this->sessions[used];
    slot = std::make_unique<Session>();
    Session &session = *slot;
    session.key = this->keyOf(service, used);
    session.plan = plan;
    session.openedAt = Clock::now();
    session.sequence = static_cast<std::uint32_t>(flows::flowHash(session.key) >> 32U);
    ++this->opened;
    this->sendSyn(session, 0);
    this->schedule(session, kFirstCopy, [this](Session &late) { this->sendSyn(late, 1); });
    this->schedule(session, kSecondCopy, [this](Session &late) { this->sendSyn(late, 2); });
    this->schedule(session, kConnectTimeout,
                   [this](Session &late) { this->finish(late, "never opened"); });
    return session.key;
}

void Client::keepOpening(const net::Endpoint &service, int perSecond)
{
    const milliseconds period(1000 / perSecond);
    this->rig.loop.every(period, [this, service]() { this->open(service, {}); });
}

const Client::Session *Client::find(std::uint16_t port) const
{
    const auto found = this->sessions.find(port);
    return found == this->sessions.end() ? nullptr : found->second.get();
}

void Client::schedule(Session &session, milliseconds delay, std::function<void(Session &)> action)
{
    this->rig.loop.after(delay,
                         [this, port = session.key.client.port, at = session.step, &session,
                          action = std::move(action)]() {
                             const auto found = this->sessions.find(port);
                             const bool isSame =
                                 found != this->sessions.end() && found->second.get() == &session;
                             if (isSame && session.step == at) {
                                 action(session);
                             }
                         });
}

void Client::sendSyn(Session &session, std::uint32_t copy)
{
    this->send(session, {.isSyn = true, .sequence = session.sequence, .acknowledged = copy});
}

void Client::beginRequest(Session &session)
{
    ++session.step;
    session.isWaiting = true;
    this->rig.record.write("request " + this->textOf(session));
    this->sendRequest(session, kFirstCopy);
    this->schedule(session, kDeadline,
                   [this](Session &late) { this->finish(late, "got no answer in time"); });
}

void Client::sendRequest(Session &session, milliseconds delay)
{
    this->send(session,
               {.isAck = true,
                .sequence = session.sequence,
                .acknowledged = session.acknowledged,
                .payload = std::vector<std::uint8_t>(kRequestBytes, 0x42)});
    this->schedule(session, delay, [this, delay](Session &late) {
        this->sendRequest(late, std::min(delay * 2, kMaxRetransmission));
    });
}

void Client::send(Session &session, WirePacket packet)
{
    packet.source = session.key.client;
    packet.target = session.key.service;
    packet.token = packet.isSyn ? 0 : session.token;
    this->rig.route(session.key, this->zone, platform::encodePacket(packet));
}

void Client::receive()
{
    this->socket->receive([this](std::span<std::uint8_t> datagram, const net::Endpoint &) {
        this->handle(datagram);
    });
}

void Client::handle(std::span<const std::uint8_t> datagram)
{
    const auto packet = platform::decodePacket(datagram);
    if (!packet) {
        return;
    }
    const auto found = this->sessions.find(packet->target.port);
    if (found == this->sessions.end()) {
        return;
    }
    Session &session = *found->second;
    if (packet->isRst) {
        this->onReset(session, *packet);
        return;
    }
    if (!packet->hasValidChecksum) {
        return;
    }
    session.token = packet->token;
    if (packet->isSyn && !session.isOpen) {
        session.isOpen = true;
        session.hostSequence = packet->sequence;
        session.acknowledged = packet->sequence + 1;
        ++session.sequence;
        this->beginRequest(session);
    } else if (!packet->isSyn) {
        this->onData(session, *packet);
    }
}

void Client::onReset(Session &session, const WirePacket &packet)
{
    const std::uint32_t distance = packet.sequence - session.acknowledged;
    if (session.isOpen && distance > kResetWindow && distance < ~kResetWindow) {
        return;
    }
    if (!packet.hasValidChecksum && this->onSystemReset) {
        this->onSystemReset(session);
    }
    this->finish(session,
                 packet.hasValidChecksum ? "was reset by a host" : "was reset by the system");
}

void Client::onData(Session &session, const WirePacket &packet)
{
    if (packet.payload.empty()) {
        // The host has the request, which is not retransmitted any more.
        if (session.isWaiting && packet.acknowledged == session.sequence + kRequestBytes) {
            ++session.step;
            this->schedule(session, kDeadline,
                           [this](Session &late) { this->finish(late, "got no answer in time"); });
        }
        return;
    }
    if (packet.sequence != session.acknowledged || !session.isWaiting) {
        // A second copy of an answer is acknowledged at once.
        this->send(
            session,
            {.isAck = true, .sequence = session.sequence, .acknowledged = session.acknowledged});
        return;
    }
    ++session.step;
    session.isWaiting = false;
    session.sequence += kRequestBytes;
    session.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
    ++session.answered;
    ++this->answered;
    this->rig.record.write("answer to " + this->textOf(session));
    if (session.answered < session.plan.requests) {
        this->schedule(session, session.plan.pause,
                       [this](Session &next) { this->beginRequest(next); });
        return;
    }
    this->send(session,
               {.isAck = true,
                .isFin = true,
                .sequence = session.sequence,
                .acknowledged = session.acknowledged});
    this->sessions.erase(session.key.client.port);
}

void Client::finish(Session &session, const std::string &outcome)
{
    ++this->unanswered;
    this->rig.record.write("flow " + this->textOf(session) + " " + outcome);
    this->sessions.erase(session.key.client.port);
}

std::string Client::textOf(const Session &session) const
{
    return absl::StrCat("from port ", session.key.client.port, " of zone ", this->zone);
}
}
