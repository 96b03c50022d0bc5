#include "standins/flowcaller.h"

#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "standins/packetbuilder.h"
#include "standins/wire.h"

#include <algorithm>
#include <cstring>
#include <netinet/in.h>

namespace radishladder::standins {
namespace {
constexpr std::chrono::milliseconds kFirstRetry{200};
constexpr std::chrono::milliseconds kLongestRetry{1600};
constexpr std::chrono::seconds kBrokenAfter{10};
constexpr std::uint64_t kFirstPort = 10000;
constexpr std::uint64_t kPorts = 50000;
}

FlowCaller::FlowCaller(std::vector<std::uint32_t> addresses, net::IEventLoop &loop, Fabric fabric)
    : addresses(std::move(addresses)), loop(loop), fabric(std::move(fabric))
{ }

FlowCaller::~FlowCaller() = default;

bool FlowCaller::start()
{
    return std::ranges::all_of(this->addresses, [this](std::uint32_t address) {
        Reason reason;
        auto opened = net::BatchSocket::open({address, kCallerPort}, reason);
        if (!opened) {
            return false;
        }
        net::BatchSocket &socket = *this->sockets.emplace_back(std::move(opened));
        this->loop.watchReadable(socket.descriptor(), [this, &socket] {
            socket.receive([this](std::span<std::uint8_t> packet, const net::Endpoint &) {
                this->receive(packet, std::chrono::steady_clock::now());
            });
        });
        return true;
    });
}

void FlowCaller::open(const net::Endpoint &service, std::chrono::milliseconds lifetime,
                      std::chrono::milliseconds interval)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const net::Endpoint caller = this->nextCaller();
    Flow &flow = this->flows[caller];
    flow.key = {caller, service, IPPROTO_TCP};
    flow.interval = interval;
    flow.openedAt = now;
    flow.endsAt = now + lifetime;
    flow.backoff = kFirstRetry;
    flow.waitingSince = now;
    this->send(flow, now);
}

net::Endpoint FlowCaller::nextCaller()
{
    net::Endpoint caller;
    do {
        caller.address = this->addresses[this->turn % this->addresses.size()];
        caller.port =
            static_cast<std::uint16_t>(kFirstPort + this->turn / this->addresses.size() % kPorts);
        ++this->turn;
    } while (this->flows.contains(caller));
    return caller;
}

void FlowCaller::tick(TimePoint now)
{
    for (auto &[caller, flow] : this->flows) {
        if (flow.nextSend <= now) {
            this->advance(flow, now);
        }
    }
    std::erase_if(this->flows, [](const auto &entry) { return entry.second.state == State::Done; });
}

void FlowCaller::advance(Flow &flow, TimePoint now)
{
    if (!flow.isAnswered && flow.waitingSince + kBrokenAfter < now) {
        this->lose(flow, Cause::NoProgress, now);
        return;
    }
    if (!flow.isAnswered) {
        flow.backoff = std::min(flow.backoff * 2, kLongestRetry);
        this->send(flow, now);
        return;
    }
    if (flow.endsAt <= now) {
        this->fabric(buildTcpPacket(flow.key, {.ack = true, .fin = true}, {}));
        ++this->results.finished;
        flow.state = State::Done;
        return;
    }
    ++flow.sequence;
    flow.backoff = kFirstRetry;
    flow.waitingSince = now;
    this->send(flow, now);
}

void FlowCaller::send(Flow &flow, TimePoint now)
{
    flow.isAnswered = false;
    flow.nextSend = now + flow.backoff;
    std::vector<std::uint8_t> payload;
    if (flow.state == State::Open) {
        payload.resize(sizeof flow.sequence);
        std::memcpy(payload.data(), &flow.sequence, sizeof flow.sequence);
    }
    const bool isOpening = flow.state == State::Opening;
    this->fabric(buildTcpPacket(flow.key, {.syn = isOpening, .ack = !isOpening}, payload));
}

void FlowCaller::receive(std::span<const std::uint8_t> packet, TimePoint now)
{
    const auto found = this->flows.find(packetKey(packet).service);
    if (found == this->flows.end() || found->second.state == State::Done) {
        return;
    }
    Flow &flow = found->second;
    const TcpFlags flags = tcpFlags(packet);
    const auto payload = tcpPayload(packet);
    if (flags.rst) {
        this->lose(flow, Cause::Reset, now);
    } else if (flags.syn && flow.state == State::Opening) {
        this->noteOpened(flow, payload, now);
    } else if (flags.syn) {
        // A repeated first packet may be answered twice, but by its own upstream only.
        if (flow.upstream != std::string(payload.begin(), payload.end())) {
            this->lose(flow, Cause::OtherUpstream, now);
        }
    } else if (flow.state == State::Open) {
        this->noteAnswer(flow, payload, now);
    }
}

void FlowCaller::noteOpened(Flow &flow, std::span<const std::uint8_t> payload, TimePoint now)
{
    flow.upstream = std::string(payload.begin(), payload.end());
    ++this->results.opened;
    ++this->results.openedByUpstream[flow.upstream];
    flow.state = State::Open;
    flow.isAnswered = true;
    flow.nextSend = now + flow.interval;
}

void FlowCaller::noteAnswer(Flow &flow, std::span<const std::uint8_t> payload, TimePoint now)
{
    const std::size_t own = sizeof flow.sequence;
    const bool isCurrent =
        payload.size() >= own && std::memcmp(payload.data(), &flow.sequence, own) == 0;
    if (!isCurrent || flow.isAnswered) {
        return;
    }
    const auto name = payload.subspan(own);
    if (flow.upstream != std::string(name.begin(), name.end())) {
        this->lose(flow, Cause::OtherUpstream, now);
        return;
    }
    ++this->results.answeredPackets;
    flow.isAnswered = true;
    flow.nextSend = now + flow.interval;
}

void FlowCaller::lose(Flow &flow, Cause cause, TimePoint now)
{
    if (flow.state == State::Opening) {
        ++this->results.notOpened;
    } else {
        this->results.losses.push_back({cause, flow.upstream, flow.key.caller, flow.openedAt, now});
    }
    flow.state = State::Done;
}
}
