#include "radishbench/caller.h"

#include "flows/types/flowkey.h"
#include "global/irandom.h"
#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "platform/standins/wirepacket.h"
#include "radishbench/verdicts.h"

namespace radishladder::radishbench {
namespace {
using platform::WirePacket;
using std::chrono::milliseconds;

constexpr milliseconds kFirstCopy{200};
constexpr milliseconds kSecondCopy{600};
constexpr milliseconds kOpeningLimit{1400};
constexpr milliseconds kFirstRepeat{200};
constexpr milliseconds kLongestRepeat{1600};
constexpr milliseconds kDeadline{3000};
constexpr std::uint64_t kPauseMs = 400;
constexpr std::size_t kRequestBytes = 300;
}

struct Caller::Session
{
    flows::FlowKey key;
    std::chrono::steady_clock::time_point openedAt;
    int requestsLeft = 0;
    bool isOpen = false;
    bool isWaiting = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t hostSequence = 0;
    std::uint32_t token = 0;

    //! Grows with each request, so that timers of earlier ones find out.
    int step = 0;
};

Caller::Caller(net::IEventLoop &loop, IRandom &random, Verdicts &verdicts, net::Endpoint local,
               Route route, Holds holds)
    : loop(loop), random(random), verdicts(verdicts), local(local), route(std::move(route)),
      holds(std::move(holds))
{ }

Caller::~Caller()
{
    if (this->socket) {
        this->loop.unwatch(this->socket->descriptor());
    }
}

bool Caller::start()
{
    Reason reason;
    this->socket = net::BatchSocket::open(this->local, reason);
    if (this->socket) {
        this->loop.watchReadable(this->socket->descriptor(), [this]() { this->receive(); });
    }
    return this->socket != nullptr;
}

void Caller::open(const net::Endpoint &service, int requests)
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
    session.requestsLeft = requests;
    session.sequence = static_cast<std::uint32_t>(this->random.next());
    this->verdicts.count("flows opened");
    this->sendOpening(session, 0);
    this->later(session, kFirstCopy, [this](Session &late) { this->sendOpening(late, 1); });
    this->later(session, kSecondCopy, [this](Session &late) { this->sendOpening(late, 2); });
    this->later(session, kOpeningLimit,
                [this](Session &late) { this->finish(late, "flows that never opened"); });
}

//! Runs \a step unless the session has moved on.
void Caller::later(Session &session, milliseconds delay, std::function<void(Session &)> step)
{
    const std::uint16_t port = session.key.client.port;
    this->loop.after(delay, [this, port, at = session.step, &session, step = std::move(step)]() {
        const auto known = this->sessions.find(port);
        const bool isSame = known != this->sessions.end() && known->second.get() == &session;
        if (isSame && known->second->step == at) {
            step(*known->second);
        }
    });
}

void Caller::sendOpening(Session &session, std::uint32_t copy)
{
    this->sendPacket(session, {.opens = true, .sequence = session.sequence, .acknowledged = copy});
}

void Caller::sendRequest(Session &session, milliseconds nextRepeat)
{
    this->sendPacket(session,
                     {.acknowledges = true,
                      .sequence = session.sequence,
                      .acknowledged = session.acknowledged,
                      .payload = std::vector<std::uint8_t>(kRequestBytes, 0x42)});
    this->later(session, nextRepeat, [this, nextRepeat](Session &late) {
        this->sendRequest(late, std::min(nextRepeat * 2, kLongestRepeat));
    });
}

void Caller::sendPacket(Session &session, WirePacket packet)
{
    packet.source = session.key.client;
    packet.target = session.key.service;
    packet.token = packet.opens ? 0 : session.token;
    if (!this->route(session.key, platform::encodePacket(packet))) {
        this->verdicts.count("packets without a VM");
    }
}

void Caller::receive()
{
    this->socket->receive([this](std::span<std::uint8_t> datagram, const net::Endpoint &) {
        this->handle(datagram);
    });
}

void Caller::handle(std::span<const std::uint8_t> datagram)
{
    const auto packet = platform::decodePacket(datagram);
    if (!packet || (!packet->hasValidChecksum && !packet->resets)) {
        this->verdicts.breakPromise("mixed", "packet that no upstream wrote");
        return;
    }
    const auto known = this->sessions.find(packet->target.port);
    if (known == this->sessions.end()) {
        return;
    }
    Session &session = *known->second;
    if (packet->resets) {
        this->onReset(session, *packet);
        return;
    }
    session.token = packet->token;
    if (packet->opens && !session.isOpen) {
        session.isOpen = true;
        session.hostSequence = packet->sequence;
        session.acknowledged = packet->sequence + 1;
        ++session.sequence;
    }
    if (packet->opens) {
        if (!session.isWaiting) {
            ++session.step;
            session.isWaiting = true;
            this->sendRequest(session, kFirstRepeat);
            this->later(session, kDeadline,
                        [this](Session &late) { this->finish(late, "requests late"); });
        }
        return;
    }
    this->onAnswer(session, *packet);
}

void Caller::onReset(Session &session, const WirePacket &packet)
{
    const bool isFromVm = !packet.hasValidChecksum;
    if (isFromVm && session.isOpen
        && this->holds(session.key, session.hostSequence, session.openedAt)) {
        this->verdicts.breakPromise("flow",
                                    "open flow from port " + std::to_string(session.key.client.port)
                                        + " reset though its upstream serves, "
                                        + (session.isWaiting ? "waiting" : "idle"));
    }
    this->finish(session, session.isOpen ? "flows reset" : "flows refused");
}

void Caller::onAnswer(Session &session, const WirePacket &packet)
{
    if (!session.isWaiting || packet.acknowledged != session.sequence + kRequestBytes) {
        return;
    }
    ++session.step;
    session.isWaiting = false;
    session.sequence += kRequestBytes;
    session.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
    this->verdicts.count("requests answered");
    if (--session.requestsLeft == 0) {
        this->sendPacket(session,
                         {.acknowledges = true,
                          .finishes = true,
                          .sequence = session.sequence,
                          .acknowledged = session.acknowledged});
        this->finish(session, "flows finished");
        return;
    }
    this->later(session, milliseconds(this->random.next() % kPauseMs), [this](Session &next) {
        ++next.step;
        next.isWaiting = true;
        this->sendRequest(next, kFirstRepeat);
        this->later(next, kDeadline,
                    [this](Session &late) { this->finish(late, "requests late"); });
    });
}

void Caller::finish(Session &session, const char *outcome)
{
    this->verdicts.count(outcome);
    this->sessions.erase(session.key.client.port);
}
}
