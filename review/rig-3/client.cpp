#include "client.h"

#include "router.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace radishladder::review {
namespace {
using Duration = EventLoop::Duration;

constexpr std::array kSynCopies{Duration(200), Duration(600)};
constexpr Duration kOpeningTime{1400};
constexpr Duration kFirstRetransmission{200};
constexpr Duration kLastRetransmission{1600};
constexpr int kMaxRetransmissions = 8;
constexpr Duration kDelayedAck{2};
constexpr std::uint32_t kSequenceStep = 7'919'333;
}

Client::Client(EventLoop &loop, Router &router, const Endpoint &local, std::string zone)
    : loop(loop), router(router), local(local), zone(std::move(zone)),
      socket(openSocket(SOCK_DGRAM, local))
{
    this->loop.watch(this->socket, [this]() { this->receive(); });
}

FlowKey Client::keyOf(std::uint16_t port, const Flow &flow) const
{
    return {{this->local.address, port}, flow.plan.route};
}

Packet Client::packetOf(std::uint16_t port, const Flow &flow) const
{
    return {.source = {this->local.address, port},
            .target = flow.plan.route,
            .isAck = true,
            .sequence = flow.sequence,
            .acknowledged = flow.hostSequence,
            .echo = flow.echo};
}

void Client::open(const Plan &plan)
{
    const std::uint16_t port = ++this->lastPort;
    Flow &flow = this->flows[port];
    flow.plan = plan;
    flow.initialSequence = static_cast<std::uint32_t>(port) * kSequenceStep;
    flow.generation = ++this->lastGeneration;
    this->sendSyn(port, 0);
    const auto isOpening = [this, port, generation = flow.generation]() {
        const auto found = this->flows.find(port);
        return found != this->flows.end() && found->second.generation == generation
            && found->second.phase == Phase::Opening;
    };
    for (std::uint32_t copy = 1; copy <= kSynCopies.size(); ++copy) {
        this->loop.after(kSynCopies.at(copy - 1), [this, port, copy, isOpening]() {
            if (isOpening()) {
                this->sendSyn(port, copy);
            }
        });
    }
    this->loop.after(kOpeningTime, [this, port, isOpening]() {
        if (isOpening()) {
            this->end(port, FlowResult::NotOpened);
        }
    });
}

void Client::sendSyn(std::uint16_t port, std::uint32_t copy)
{
    Flow &flow = this->flows[port];
    Packet syn = this->packetOf(port, flow);
    syn.isAck = false;
    syn.isSyn = true;
    syn.sequence = flow.initialSequence;
    syn.acknowledged = copy;
    syn.echo = 0;
    if (this->onSyn) {
        const FlowKey key = this->keyOf(port, flow);
        this->onSyn(key, copy, this->router.targetOf(key, this->zone));
    }
    this->router.forward(syn, this->zone);
}

void Client::receive()
{
    std::array<std::uint8_t, 2048> bytes;
    for (;;) {
        const auto size = ::recv(this->socket, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            return;
        }
        const auto packet = decodePacket({bytes.data(), static_cast<std::size_t>(size)});
        if (packet) {
            this->handle(*packet);
        }
    }
}

void Client::handle(const Packet &packet)
{
    const std::uint16_t port = packet.target.port;
    const auto found = this->flows.find(port);
    if (found == this->flows.end() || packet.source != found->second.plan.route) {
        return;
    }
    Flow &flow = found->second;
    if (packet.isRst) {
        this->end(port, flow.phase == Phase::Opening ? FlowResult::NotOpened : FlowResult::Reset);
        return;
    }
    flow.echo = packet.echo;
    if (packet.isSyn) {
        this->onSynAck(port, flow, packet);
    } else if (packet.isFin) {
        this->end(port, FlowResult::Answered);
    } else if (!packet.data.empty()) {
        this->onResponse(port, flow, packet);
    }
}

void Client::onSynAck(std::uint16_t port, Flow &flow, const Packet &packet)
{
    if (flow.phase != Phase::Opening) {
        return;
    }
    flow.phase = Phase::Open;
    flow.sequence = flow.initialSequence + 1;
    flow.hostSequence = packet.sequence + 1;
    this->sendRequest(port, flow);
}

void Client::sendRequest(std::uint16_t port, Flow &flow)
{
    const std::string id =
        addressText(this->local.address) + "-" + std::to_string(++this->requestCount);
    Packet request = this->packetOf(port, flow);
    request.data = "GET / HTTP/1.1\r\nHost: " + endpointText(flow.plan.route)
        + "\r\nRadishladder-Request-Id: " + id + "\r\n\r\n";
    flow.sequence += static_cast<std::uint32_t>(request.data.size());
    ++flow.requestsSent;
    flow.unacknowledged = request;
    flow.isWaiting = true;
    flow.retransmissions = 0;
    flow.generation = ++this->lastGeneration;
    this->router.forward(request, this->zone);
    const auto generation = flow.generation;
    this->loop.after(kFirstRetransmission,
                     [this, port, generation]() { this->retransmit(port, generation); });
    this->loop.after(flow.plan.deadline, [this, port, generation]() {
        const auto found = this->flows.find(port);
        if (found != this->flows.end() && found->second.generation == generation
            && found->second.isWaiting) {
            this->end(port, FlowResult::TimedOut);
        }
    });
}

void Client::retransmit(std::uint16_t port, std::uint64_t generation)
{
    const auto found = this->flows.find(port);
    if (found == this->flows.end() || found->second.generation != generation
        || !found->second.isWaiting) {
        return;
    }
    Flow &flow = found->second;
    if (flow.retransmissions >= kMaxRetransmissions) {
        this->end(port, FlowResult::TimedOut);
        return;
    }
    flow.unacknowledged.echo = flow.echo;
    this->router.forward(flow.unacknowledged, this->zone);
    const Duration delay =
        std::min(kFirstRetransmission * (1 << ++flow.retransmissions), kLastRetransmission);
    this->loop.after(delay, [this, port, generation]() { this->retransmit(port, generation); });
}

void Client::onResponse(std::uint16_t port, Flow &flow, const Packet &packet)
{
    if (packet.sequence != flow.hostSequence) {
        // A retransmission whose acknowledgement was lost.
        this->sendAck(port, flow.hostSequence);
        return;
    }
    flow.hostSequence += static_cast<std::uint32_t>(packet.data.size());
    flow.isWaiting = false;
    if (flow.requestsSent >= flow.plan.requests) {
        this->sendFin(port, flow);
        return;
    }
    this->loop.after(kDelayedAck, [this, port, acknowledged = flow.hostSequence]() {
        this->sendAck(port, acknowledged);
    });
    this->loop.after(flow.plan.pause, [this, port, generation = flow.generation]() {
        const auto found = this->flows.find(port);
        if (found != this->flows.end() && found->second.generation == generation
            && found->second.phase == Phase::Open) {
            this->sendRequest(port, found->second);
        }
    });
}

void Client::sendAck(std::uint16_t port, std::uint32_t acknowledged)
{
    const auto found = this->flows.find(port);
    if (found != this->flows.end() && found->second.hostSequence == acknowledged
        && !found->second.isWaiting && found->second.phase == Phase::Open) {
        this->router.forward(this->packetOf(port, found->second), this->zone);
    }
}

void Client::sendFin(std::uint16_t port, Flow &flow)
{
    flow.phase = Phase::Closing;
    Packet fin = this->packetOf(port, flow);
    fin.isFin = true;
    flow.unacknowledged = fin;
    flow.isWaiting = true;
    flow.retransmissions = 0;
    flow.generation = ++this->lastGeneration;
    this->router.forward(fin, this->zone);
    this->loop.after(kFirstRetransmission, [this, port, generation = flow.generation]() {
        this->retransmit(port, generation);
    });
}

void Client::closeFlows(std::size_t count)
{
    std::vector<std::uint16_t> idle;
    for (const auto &[port, flow] : this->flows) {
        if (flow.phase == Phase::Open && !flow.isWaiting && idle.size() < count) {
            idle.push_back(port);
        }
    }
    for (const std::uint16_t port : idle) {
        this->sendFin(port, this->flows[port]);
    }
}

void Client::end(std::uint16_t port, FlowResult result)
{
    const auto found = this->flows.find(port);
    const FlowKey key = this->keyOf(port, found->second);
    const Report report{
        .flow = key, .result = result, .vm = this->router.targetOf(key, this->zone)};
    this->flows.erase(found);
    if (this->onEnd) {
        this->onEnd(report);
    }
}
}
