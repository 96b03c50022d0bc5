#include "host.h"

#include "store.h"

#include <json/json.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace radishladder::review {
namespace {
using Duration = EventLoop::Duration;

constexpr Duration kFirstRetransmission{200};
constexpr Duration kLastRetransmission{1600};
constexpr int kMaxRetransmissions = 8;
constexpr std::size_t kIdBytes = 8;
constexpr std::uint32_t kSequenceStep = 1'000'000;
constexpr const char *kIdHeader = "Radishladder-Request-Id: ";

std::string idText(std::uint64_t id)
{
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "i-%08llx", static_cast<unsigned long long>(id));
    return text.data();
}

std::string entryKey(std::uint64_t id)
{
    return "servers/" + idText(id);
}

std::string requestId(const std::string &request)
{
    const auto begin = request.find(kIdHeader);
    if (begin == std::string::npos) {
        return "";
    }
    const auto value = begin + std::string(kIdHeader).size();
    return request.substr(value, request.find("\r\n", value) - value);
}

Packet replyTo(const FlowKey &key)
{
    return {.source = key.second, .target = key.first, .isAck = true};
}
}

Host::Host(EventLoop &loop, Store &store, const HostSettings &settings)
    : loop(loop), store(store), settings(settings)
{ }

void Host::start(bool isDuringTraffic)
{
    this->socket = openSocket(SOCK_DGRAM, this->settings.address);
    this->loop.watch(this->socket, [this]() { this->receive(); });
    ++this->incarnation;
    this->born =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    this->sequence = 0;
    this->isDraining = false;
    this->warmAt = EventLoop::now() + (isDuringTraffic ? this->settings.warmup : Duration(0));
    this->beat(this->incarnation);
}

void Host::drain()
{
    this->isDraining = true;
    this->writeEntry();
}

void Host::stop()
{
    this->loop.unwatch(this->socket);
    ::close(std::exchange(this->socket, -1));
    ++this->incarnation;
    this->flows.clear();
    this->queue.clear();
    this->running = 0;
    this->store.remove(entryKey(this->settings.id));
}

void Host::beat(std::uint64_t current)
{
    if (current != this->incarnation) {
        return;
    }
    this->writeEntry();
    this->loop.after(this->settings.heartbeat, [this, current]() { this->beat(current); });
}

void Host::writeEntry()
{
    const auto left = std::chrono::ceil<Duration>(this->warmAt - EventLoop::now());
    Json::Value json;
    json["service"] = this->settings.service;
    json["address"] = endpointText(this->settings.address);
    json["zone"] = this->settings.zone;
    json["version"] = "v1";
    json["concurrency"] = Json::UInt64(this->settings.slots);
    json["state"] = this->isDraining ? "draining" : "ready";
    json["warmup_left_ms"] = Json::Int64(std::max(left, Duration(0)).count());
    json["sequence"] = Json::Int64(++this->sequence);
    json["born"] = Json::Int64(this->born);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    this->store.put(entryKey(this->settings.id), Json::writeString(builder, json));
}

void Host::receive()
{
    std::array<std::uint8_t, 2048> bytes;
    while (this->socket >= 0) {
        const auto size = ::recv(this->socket, bytes.data(), bytes.size(), 0);
        if (size < static_cast<ssize_t>(kIdBytes)) {
            return;
        }
        const std::span<const std::uint8_t> datagram(bytes.data(), static_cast<std::size_t>(size));
        const std::uint64_t id = readHostId(datagram);
        const auto packet = decodePacket(datagram.subspan(kIdBytes));
        const bool isIntended = id == 0 || id == this->settings.id;
        if (packet && isIntended) {
            this->handle(*packet);
        }
    }
}

void Host::handle(const Packet &packet)
{
    const FlowKey key(packet.source, packet.target);
    if (packet.isSyn) {
        this->handleSyn(packet);
        return;
    }
    const auto found = this->flows.find(key);
    const bool isHeld = found != this->flows.end()
        && (found->second.isOpen || packet.acknowledged == found->second.ownSequence + 1);
    if (packet.isRst) {
        this->flows.erase(key);
        return;
    }
    if (!isHeld && packet.isFin) {
        Packet answer = replyTo(key);
        answer.sequence = packet.acknowledged;
        answer.acknowledged = packet.sequence + 1;
        answer.echo = packet.echo;
        this->send(answer);
        return;
    }
    if (!isHeld) {
        this->sendReset(packet);
        return;
    }
    Flow &flow = found->second;
    flow.echo = packet.echo;
    if (!flow.isOpen) {
        flow.isOpen = true;
        flow.isWaiting = false;
        if (this->onOpened) {
            this->onOpened(flow.opening);
        }
    }
    this->handleData(key, flow, packet);
}

void Host::handleSyn(const Packet &packet)
{
    const FlowKey key(packet.source, packet.target);
    const auto found = this->flows.find(key);
    if (found != this->flows.end()) {
        // The retransmission of the SYN+ACK has its own timer.
        return;
    }
    if (this->flows.size() >= this->settings.maxFlows) {
        return;
    }
    this->lastSequence += kSequenceStep;
    Flow &flow = this->flows[key];
    flow.clientSequence = packet.sequence + 1;
    flow.ownSequence = this->lastSequence;
    flow.sentEnd = this->lastSequence + 1;
    flow.echo = packet.echo;
    flow.opening = {.flow = key,
                    .copy = packet.acknowledged,
                    .arrivedAt = EventLoop::now(),
                    .isCold = this->isCold()};
    Packet answer = replyTo(key);
    answer.isSyn = true;
    answer.sequence = flow.ownSequence;
    answer.acknowledged = flow.clientSequence;
    this->sendReliably(key, flow, answer);
}

void Host::handleData(const FlowKey &key, Flow &flow, const Packet &packet)
{
    if (flow.isWaiting && packet.acknowledged == flow.sentEnd) {
        flow.isWaiting = false;
    }
    const bool isNew = packet.sequence == flow.clientSequence;
    if (isNew && !packet.data.empty()) {
        flow.clientSequence += static_cast<std::uint32_t>(packet.data.size());
        this->queue.emplace_back(key, requestId(packet.data));
        this->runNext();
    }
    if (packet.isFin) {
        Packet answer = replyTo(key);
        answer.isFin = true;
        answer.sequence = flow.sentEnd;
        answer.acknowledged = packet.sequence + 1;
        answer.echo = flow.echo;
        this->send(answer);
        this->flows.erase(key);
    }
}

void Host::runNext()
{
    if (this->running >= this->settings.slots || this->queue.empty()) {
        return;
    }
    ++this->running;
    const FlowKey key = this->queue.front().first;
    const std::string id = this->queue.front().second;
    this->queue.pop_front();
    if (this->onRun) {
        this->onRun(key, id);
    }
    this->loop.after(this->settings.workTime, [this, key, id, current = this->incarnation]() {
        if (current == this->incarnation) {
            --this->running;
            this->finish(key, id);
            this->runNext();
        }
    });
}

void Host::finish(const FlowKey &key, const std::string &id)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
        return;
    }
    Flow &flow = found->second;
    Packet response = replyTo(key);
    response.sequence = flow.sentEnd;
    response.acknowledged = flow.clientSequence;
    const std::string body = "done " + id;
    response.data = "HTTP/1.1 200 OK\r\nRadishladder-Server-Signature: " + idText(this->settings.id)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    flow.sentEnd += static_cast<std::uint32_t>(response.data.size());
    this->sendReliably(key, flow, response);
}

void Host::sendReliably(const FlowKey &key, Flow &flow, const Packet &packet)
{
    flow.unacknowledged = packet;
    flow.isWaiting = true;
    flow.retransmissions = 0;
    flow.generation = ++this->lastGeneration;
    this->transmit(key, flow);
    this->loop.after(kFirstRetransmission, [this, key, generation = flow.generation]() {
        this->retransmit(key, generation);
    });
}

void Host::retransmit(const FlowKey &key, std::uint64_t generation)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end() || found->second.generation != generation
        || !found->second.isWaiting) {
        return;
    }
    Flow &flow = found->second;
    if (++flow.retransmissions > kMaxRetransmissions) {
        this->flows.erase(found);
        return;
    }
    this->transmit(key, flow);
    const Duration delay =
        std::min(kFirstRetransmission * (1 << flow.retransmissions), kLastRetransmission);
    this->loop.after(delay, [this, key, generation]() { this->retransmit(key, generation); });
}

void Host::transmit(const FlowKey &key, Flow &flow)
{
    flow.unacknowledged.echo = flow.echo;
    const bool isLost = flow.unacknowledged.isSyn && this->losesSynAck
        && this->losesSynAck(key, flow.retransmissions);
    if (!isLost) {
        this->send(flow.unacknowledged);
    }
}

void Host::send(const Packet &packet)
{
    const auto bytes = encodePacket(packet);
    // Clients receive at the port number at which VMs receive packets.
    const Endpoint client{packet.target.address, this->settings.address.port};
    const sockaddr_in address = toSocketAddress(client);
    ::sendto(this->socket, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

void Host::sendReset(const Packet &packet)
{
    if (this->onReset) {
        this->onReset({packet.source, packet.target});
    }
    Packet reset = replyTo({packet.source, packet.target});
    reset.isAck = false;
    reset.isRst = true;
    reset.sequence = packet.acknowledged;
    reset.echo = packet.echo;
    this->send(reset);
}
}
