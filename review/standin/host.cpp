#include "host.h"

#include "record.h"
#include "store.h"

#include <array>
#include <cstdio>
#include <unistd.h>

namespace review {
namespace {
constexpr std::size_t kIdBytes = 8;
constexpr Milliseconds kFirstRetransmission{200};
constexpr Milliseconds kMaxRetransmission{1600};
constexpr int kMaxTransmissions = 9;

std::string idText(std::uint64_t id)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "i-%010llx", static_cast<unsigned long long>(id));
    return text.data();
}
}

Host::Host(Loop &loop, Store &store, Record &record, Settings settings)
    : loop(loop), store(store), record(record), settings(std::move(settings))
{ }

Host::~Host()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

bool Host::start()
{
    this->socket = openUdp(this->settings.address);
    if (this->socket < 0) {
        return false;
    }
    this->loop.watch(this->socket, [this]() { this->receive(); });
    this->isCold = this->settings.warmup.count() > 0;
    this->publish();
    if (this->isCold) {
        this->loop.after(this->settings.warmup, [this, guard = std::weak_ptr<int>(this->alive)]() {
            if (!guard.expired()) {
                this->isCold = false;
                this->publish();
            }
        });
    }
    return true;
}

void Host::publish()
{
    this->store.put("servers/" + idText(this->settings.id),
                    "{\"service\":\"" + this->settings.service + "\",\"address\":\""
                        + endpointText(this->settings.address) + "\",\"zone\":\""
                        + this->settings.zone + "\",\"version\":\"v1\",\"concurrency\":"
                        + std::to_string(this->settings.slots) + ",\"state\":\""
                        + (this->draining ? "draining" : "ready") + "\",\"warmup_left_ms\":"
                        + std::to_string(this->isCold ? this->settings.warmup.count() : 0)
                        + ",\"sequence\":1,\"born\":1796400000000}");
}

void Host::drain()
{
    this->draining = true;
    this->publish();
    this->record.write(this->settings.name + " reports draining; the store has accepted it");
}

void Host::leave()
{
    this->loop.unwatch(this->socket);
    ::close(this->socket);
    this->socket = -1;
    this->alive = std::make_shared<int>(0);
    this->store.remove("servers/" + idText(this->settings.id));
    this->record.write(this->settings.name + " ends with " + std::to_string(this->atWork)
                       + " requests at work");
}

bool Host::holds(const FlowKey &flow) const
{
    const auto found = this->flows.find(flow);
    return this->isUp() && found != this->flows.end() && found->second.isOpen;
}

void Host::receive()
{
    while (this->socket >= 0) {
        const auto bytes = receiveUdp(this->socket);
        if (!bytes) {
            return;
        }
        std::uint64_t id = 0;
        for (std::size_t i = 0; i < kIdBytes && i < bytes->size(); ++i) {
            id = id << 8U | (*bytes)[i];
        }
        const auto packet =
            bytes->size() < kIdBytes ? std::nullopt : decode(std::span(*bytes).subspan(kIdBytes));
        if (packet && packet->hasValidSum && (id == 0 || id == this->settings.id)) {
            this->handle(*packet);
        }
    }
}

void Host::handle(const Packet &packet)
{
    const FlowKey key{packet.source, packet.target};
    if (packet.isSyn) {
        this->accept(packet, key);
        return;
    }
    const auto found = this->flows.find(key);
    const bool opens = found != this->flows.end() && packet.acknowledged == found->second.sequence;
    if (found == this->flows.end() || (!found->second.isOpen && !opens)) {
        if (!packet.isRst) {
            this->record.write(this->settings.name + " gets a packet of flow "
                               + endpointText(key.client)
                               + " that it does not hold; sends a reset");
            this->send({.source = key.service,
                        .target = key.client,
                        .isRst = true,
                        .sequence = packet.acknowledged,
                        .echo = packet.echo});
        }
        return;
    }
    Flow &flow = found->second;
    flow.isOpen = true;
    flow.echo = packet.echo;
    if (packet.isRst || packet.isFin) {
        this->flows.erase(found);
    } else if (!packet.data.empty() && packet.sequence == flow.expected) {
        flow.expected += static_cast<std::uint32_t>(packet.data.size());
        this->run(key, packet);
    }
}

void Host::accept(const Packet &packet, const FlowKey &key)
{
    const auto [found, isNew] = this->flows.try_emplace(key);
    Flow &flow = found->second;
    flow.echo = packet.echo;
    if (!isNew) {
        this->sendSynAck(key);
        return;
    }
    flow.sequence = static_cast<std::uint32_t>(this->settings.id * 2654435761U + key.client.port);
    flow.expected = packet.sequence + 1;
    if (this->onOpening) {
        this->onOpening(packet);
    }
    this->sendSynAck(key);
}

void Host::sendSynAck(const FlowKey &key)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end() || found->second.isOpen
        || found->second.transmissions >= kMaxTransmissions) {
        return;
    }
    Flow &flow = found->second;
    if (this->losesSynAck) {
        this->losesSynAck = false;
        this->record.write("the network loses the SYN+ACK of " + this->settings.name + " to "
                           + endpointText(key.client));
    } else {
        this->send({.source = key.service,
                    .target = key.client,
                    .isSyn = true,
                    .isAck = true,
                    .sequence = flow.sequence - 1,
                    .acknowledged = flow.expected,
                    .echo = flow.echo});
    }
    const auto delay =
        std::min(kMaxRetransmission, kFirstRetransmission * (1 << flow.transmissions));
    ++flow.transmissions;
    this->loop.after(delay, [this, key, guard = std::weak_ptr<int>(this->alive)]() {
        if (!guard.expired()) {
            this->sendSynAck(key);
        }
    });
}

void Host::run(const FlowKey &key, const Packet &request)
{
    const std::string id = request.data.substr(0, request.data.find(' '));
    this->record.write(this->settings.name + " runs " + id);
    ++this->atWork;
    this->loop.after(this->settings.work,
                     [this, key, id, request, guard = std::weak_ptr<int>(this->alive)]() {
                         const auto found = this->flows.find(key);
                         if (guard.expired()) {
                             return;
                         }
                         --this->atWork;
                         if (found == this->flows.end()) {
                             return;
                         }
                         this->send({.source = key.service,
                                     .target = key.client,
                                     .isAck = true,
                                     .sequence = request.acknowledged,
                                     .acknowledged = found->second.expected,
                                     .echo = found->second.echo,
                                     .data = id + " 200 " + this->settings.name});
                     });
}

void Host::send(const Packet &packet)
{
    sendUdp(this->socket, encode(packet), {packet.target.address, this->settings.clientPort});
}
}
