#include "radishbench/clienthost.h"

#include "flows/types/flowkey.h"
#include "global/irandom.h"
#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "platform/standins/wirepacket.h"
#include "radishbench/checkresults.h"

namespace radishladder::radishbench {
namespace {
using platform::WirePacket;
using std::chrono::milliseconds;

constexpr milliseconds kFirstRetransmission{200};
constexpr milliseconds kSecondRetransmission{600};
constexpr milliseconds kConnectTimeout{1400};
constexpr milliseconds kFirstRetryDelay{200};
constexpr milliseconds kMaxRetryDelay{1600};
constexpr milliseconds kRequestTimeout{3000};
constexpr std::uint64_t kMaxPauseMs = 400;
constexpr std::size_t kRequestBytes = 300;
}

struct ClientHost::Session
{
    flows::FlowKey key;
    std::chrono::steady_clock::time_point openedAt;
    int requestsLeft = 0;
    bool isOpen = false;
    bool isWaiting = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t upstreamSequence = 0;
    std::uint32_t token = 0;

    //! Incremented with each request and response, so that timers set before have no effect.
    int step = 0;
};

ClientHost::ClientHost(net::IEventLoop &loop, IRandom &random, CheckResults &results,
                       net::Endpoint local, DatagramSender sendDatagram, FlowPredicate isFlowHeld)
    : loop(loop), random(random), results(results), local(local),
      sendDatagram(std::move(sendDatagram)), isFlowHeld(std::move(isFlowHeld))
{ }

ClientHost::~ClientHost()
{
    if (this->socket) {
        this->loop.unwatch(this->socket->descriptor());
    }
}

bool ClientHost::start()
{
    Reason reason;
    this->socket = net::BatchSocket::open(this->local, reason);
    if (this->socket) {
        this->loop.watchReadable(this->socket->descriptor(), [this]() { this->receive(); });
    }
    return this->socket != nullptr;
}

void ClientHost::open(const net::Endpoint &service, int requestCount)
{
    ++this->lastPort;
    if (this->lastPort < 1024) {
        this->lastPort = 1024;
    }
    auto &slot = this->sessions[this->lastPort];
    slot = std::make_unique<Session>();
    Session &session = *slot;
    session.key = {{this->local.address, this->lastPort}, service};
    session.openedAt = std::chrono::steady_clock::now();
    session.requestsLeft = requestCount;
    session.sequence = static_cast<std::uint32_t>(this->random.next());
    this->results.count("flows opened");
    this->sendSyn(session, 0);
    this->schedule(session, kFirstRetransmission,
                   [this](Session &late) { this->sendSyn(late, 1); });
    this->schedule(session, kSecondRetransmission,
                   [this](Session &late) { this->sendSyn(late, 2); });
    this->schedule(session, kConnectTimeout,
                   [this](Session &late) { this->finish(late, "flows that never opened"); });
}

//! Runs \a action after \a delay unless the session's step has changed or the session has ended by
//! then.
void ClientHost::schedule(Session &session, milliseconds delay,
                          std::function<void(Session &)> action)
{
    const std::uint16_t port = session.key.client.port;
    this->loop.after(
        delay, [this, port, at = session.step, &session, action = std::move(action)]() {
            const auto found = this->sessions.find(port);
            const bool isSame = found != this->sessions.end() && found->second.get() == &session;
            if (isSame && found->second->step == at) {
                action(*found->second);
            }
        });
}

void ClientHost::sendSyn(Session &session, std::uint32_t retransmission)
{
    // In a SYN, the acknowledgement field holds the number of earlier transmissions.
    this->sendPacket(session,
                     {.isSyn = true, .sequence = session.sequence, .acknowledged = retransmission});
}

void ClientHost::sendRequest(Session &session, milliseconds retryDelay)
{
    this->sendPacket(session,
                     {.isAck = true,
                      .sequence = session.sequence,
                      .acknowledged = session.acknowledged,
                      .payload = std::vector<std::uint8_t>(kRequestBytes, 0x42)});
    this->schedule(session, retryDelay, [this, retryDelay](Session &late) {
        this->sendRequest(late, std::min(retryDelay * 2, kMaxRetryDelay));
    });
}

void ClientHost::sendPacket(Session &session, WirePacket packet)
{
    packet.source = session.key.client;
    packet.target = session.key.service;
    packet.token = packet.isSyn ? 0 : session.token;
    if (!this->sendDatagram(session.key, platform::encodePacket(packet))) {
        this->results.count("packets without a VM");
    }
}

void ClientHost::receive()
{
    this->socket->receive([this](std::span<std::uint8_t> datagram, const net::Endpoint &) {
        this->handle(datagram);
    });
}

void ClientHost::handle(std::span<const std::uint8_t> datagram)
{
    const auto packet = platform::decodePacket(datagram);
    if (!packet || (!packet->hasValidChecksum && !packet->isRst)) {
        this->results.recordViolation("mixed", "packet that no upstream wrote");
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
    session.token = packet->token;
    if (packet->isSyn) {
        this->onSynAck(session, *packet);
        return;
    }
    this->onResponse(session, *packet);
}

void ClientHost::onSynAck(Session &session, const WirePacket &packet)
{
    // Another upstream that accepted the flow too sends its own; only the first one counts.
    if (session.isOpen) {
        return;
    }
    session.isOpen = true;
    session.upstreamSequence = packet.sequence;
    session.acknowledged = packet.sequence + 1;
    ++session.sequence;
    ++session.step;
    session.isWaiting = true;
    this->sendRequest(session, kFirstRetryDelay);
    this->schedule(session, kRequestTimeout,
                   [this](Session &late) { this->finish(late, "requests late"); });
}

void ClientHost::onReset(Session &session, const WirePacket &packet)
{
    // VMs write no checksum into their resets; upstreams do.
    const bool isFromVm = !packet.hasValidChecksum;
    if (isFromVm && session.isOpen
        && this->isFlowHeld(session.key, session.upstreamSequence, session.openedAt)) {
        this->results.recordViolation(
            "flow",
            "open flow from port " + std::to_string(session.key.client.port)
                + " reset though its upstream serves, " + (session.isWaiting ? "waiting" : "idle"));
    }
    this->finish(session, session.isOpen ? "flows reset" : "flows refused");
}

void ClientHost::onResponse(Session &session, const WirePacket &packet)
{
    if (!session.isWaiting || packet.acknowledged != session.sequence + kRequestBytes) {
        return;
    }
    ++session.step;
    session.isWaiting = false;
    session.sequence += kRequestBytes;
    session.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
    this->results.count("requests answered");
    if (--session.requestsLeft == 0) {
        this->sendPacket(session,
                         {.isAck = true,
                          .isFin = true,
                          .sequence = session.sequence,
                          .acknowledged = session.acknowledged});
        this->finish(session, "flows finished");
        return;
    }
    this->schedule(session, milliseconds(this->random.next() % kMaxPauseMs), [this](Session &next) {
        ++next.step;
        next.isWaiting = true;
        this->sendRequest(next, kFirstRetryDelay);
        this->schedule(next, kRequestTimeout,
                       [this](Session &late) { this->finish(late, "requests late"); });
    });
}

void ClientHost::finish(Session &session, const char *outcome)
{
    this->results.count(outcome);
    this->sessions.erase(session.key.client.port);
}
}
