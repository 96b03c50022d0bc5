#include "client.h"

#include "record.h"

#include <algorithm>
#include <unistd.h>

namespace review {
namespace {
constexpr Milliseconds kFirstCopy{200};
constexpr Milliseconds kSecondCopy{600};
constexpr Milliseconds kOpeningLimit{1400};
constexpr Milliseconds kMaxRetryDelay{1600};
constexpr Milliseconds kDeadline{4000};
constexpr std::uint32_t kResetWindow = 76800;
}

Client::Client(Loop &loop, Record &record, const Endpoint &local, Router route)
    : loop(loop), record(record), local(local), route(std::move(route))
{ }

Client::~Client()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

bool Client::start()
{
    this->socket = openUdp(this->local);
    if (this->socket >= 0) {
        this->loop.watch(this->socket, [this]() { this->receive(); });
    }
    return this->socket >= 0;
}

const Client::Flow *Client::find(std::uint16_t port) const
{
    const auto found = this->flows.find(port);
    return found == this->flows.end() ? nullptr : found->second.get();
}

std::string Client::requestText(const Flow &flow) const
{
    return "request-" + std::to_string(flow.key.client.port) + "-"
        + std::to_string(flow.answered + 1);
}

void Client::after(Milliseconds delay, Flow &flow, std::function<void(Flow &)> task)
{
    this->loop.after(
        delay, [this, port = flow.key.client.port, step = flow.step, task = std::move(task)]() {
            const auto found = this->flows.find(port);
            if (found != this->flows.end() && found->second->step == step) {
                task(*found->second);
            }
        });
}

void Client::open(std::uint16_t port, const Endpoint &service, std::vector<Milliseconds> pauses)
{
    auto &slot = this->flows[port];
    slot = std::make_unique<Flow>();
    Flow &flow = *slot;
    flow.key = {{this->local.address, port}, service};
    flow.pauses = std::move(pauses);
    flow.sequence = port * 65537U;
    flow.synSentAt = Clock::now();
    this->sendSyn(flow, 0);
    this->after(kFirstCopy, flow, [this](Flow &late) { this->sendSyn(late, 1); });
    this->after(kSecondCopy, flow, [this](Flow &late) { this->sendSyn(late, 2); });
    this->after(kOpeningLimit, flow,
                [this](Flow &late) { this->finish(late, Outcome::NeverOpened); });
}

void Client::sendSyn(Flow &flow, std::uint32_t earlierTransmissions)
{
    this->send(flow,
               {.isSyn = true, .sequence = flow.sequence, .acknowledged = earlierTransmissions});
}

void Client::send(Flow &flow, Packet packet)
{
    packet.source = flow.key.client;
    packet.target = flow.key.service;
    packet.echo = packet.isSyn ? 0 : flow.echo;
    this->route(flow.key, packet);
}

void Client::sendNextRequest(Flow &flow)
{
    flow.isWaiting = true;
    ++flow.step;
    this->record.write("client sends " + this->requestText(flow));
    this->after(kDeadline, flow, [this](Flow &late) { this->finish(late, Outcome::Late); });
    this->sendRequest(flow, kFirstCopy);
}

void Client::sendRequest(Flow &flow, Milliseconds retryDelay)
{
    std::string data = this->requestText(flow) + " POST /order";
    this->send(flow,
               {.isAck = true,
                .sequence = flow.sequence,
                .acknowledged = flow.acknowledged,
                .data = std::move(data)});
    this->after(retryDelay, flow, [this, retryDelay](Flow &late) {
        this->sendRequest(late, std::min(retryDelay * 2, kMaxRetryDelay));
    });
}

void Client::receive()
{
    for (auto bytes = receiveUdp(this->socket); bytes; bytes = receiveUdp(this->socket)) {
        const auto packet = decode(*bytes);
        if (packet) {
            this->handle(*packet);
        }
    }
}

void Client::handle(const Packet &packet)
{
    const auto found = this->flows.find(packet.target.port);
    if (found == this->flows.end()) {
        return;
    }
    Flow &flow = *found->second;
    if (packet.isRst) {
        const auto distance = static_cast<std::int32_t>(packet.sequence - flow.acknowledged);
        if (flow.isOpen && std::abs(distance) > static_cast<std::int32_t>(kResetWindow)) {
            return;
        }
        flow.isResetByVm = !packet.hasValidSum;
        this->finish(flow, flow.isOpen ? Outcome::Reset : Outcome::NeverOpened);
        return;
    }
    if (!packet.hasValidSum) {
        return;
    }
    flow.echo = packet.echo;
    if (packet.isSyn && !flow.isOpen) {
        flow.isOpen = true;
        ++flow.step;
        ++flow.sequence;
        flow.acknowledged = packet.sequence + 1;
        this->send(flow,
                   {.isAck = true, .sequence = flow.sequence, .acknowledged = flow.acknowledged});
        this->after(flow.pauses.front(), flow, [this](Flow &next) { this->sendNextRequest(next); });
        return;
    }
    if (packet.isSyn) {
        this->record.write("client gets a further SYN+ACK for its open flow "
                           + std::to_string(flow.key.client.port) + ", echo "
                           + std::to_string(packet.echo));
        return;
    }
    const std::string text = this->requestText(flow);
    if (!flow.isWaiting || !packet.data.starts_with(text + " ")) {
        return;
    }
    this->record.write("client gets the answer: " + packet.data);
    flow.isWaiting = false;
    ++flow.step;
    flow.sequence = packet.acknowledged;
    flow.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size());
    ++flow.answered;
    if (flow.answered == flow.pauses.size()) {
        this->send(flow,
                   {.isAck = true,
                    .isFin = true,
                    .sequence = flow.sequence,
                    .acknowledged = flow.acknowledged});
        this->finish(flow, Outcome::Answered);
        return;
    }
    this->after(flow.pauses[flow.answered], flow,
                [this](Flow &next) { this->sendNextRequest(next); });
}

void Client::finish(Flow &flow, Outcome outcome)
{
    const auto ended = std::move(this->flows[flow.key.client.port]);
    this->flows.erase(flow.key.client.port);
    if (this->onOutcome) {
        this->onOutcome(*ended, outcome);
    }
}
}
