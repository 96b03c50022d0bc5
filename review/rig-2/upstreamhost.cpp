#include "upstreamhost.h"

#include "global/hash.h"
#include "settings/jsonfile.h"
#include "testbed.h"

#include <absl/strings/str_cat.h>

namespace review {
namespace {
using namespace radishladder;
using platform::WirePacket;

constexpr std::size_t kIdBytes = 8;
constexpr std::uint16_t kClientPort = 8172;
constexpr int kRetransmissions = 8;
constexpr milliseconds kFirstRetransmission{200};
constexpr milliseconds kMaxRetransmission{1600};
constexpr std::size_t kResponseBytes = 600;
constexpr int kSlots = 3;
constexpr std::size_t kMaxQueue = 12;

milliseconds nextDelay(milliseconds delay)
{
    return std::min(delay * 2, kMaxRetransmission);
}
}

Host::Host(Rig &rig, std::uint64_t id, std::string service, std::string zone, net::Endpoint address)
    : id(id), service(std::move(service)), zone(std::move(zone)), address(address), rig(rig)
{ }

std::string Host::entryKey() const
{
    return absl::StrCat("servers/i-", absl::Hex(this->id, absl::kZeroPad8));
}

std::string Host::name() const
{
    return absl::StrCat("i-", absl::Hex(this->id, absl::kZeroPad8));
}

bool Host::start(milliseconds coldFor)
{
    Reason reason;
    this->socket = net::BatchSocket::open(this->address, reason);
    if (!this->socket) {
        return false;
    }
    this->rig.loop.watchReadable(this->socket->descriptor(), [this]() { this->receive(); });
    this->born = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
    this->sequenceOfEntry = 0;
    this->coldUntil = Clock::now() + coldFor;
    this->warmupLeftMs = static_cast<std::uint32_t>(coldFor.count());
    this->publish();
    if (coldFor.count() > 0) {
        this->after(coldFor, [this]() {
            this->warmupLeftMs = 0;
            this->publish();
        });
    }
    return true;
}

void Host::drain()
{
    this->isDraining = true;
    this->publish();
    this->drainingSince = Clock::now();
}

void Host::publish()
{
    Json::Value json;
    json["service"] = this->service;
    json["address"] = net::endpointText(this->address);
    json["zone"] = this->zone;
    json["version"] = "v1";
    json["concurrency"] = 3;
    json["state"] = this->isDraining ? "draining" : "ready";
    json["warmup_left_ms"] = this->warmupLeftMs;
    json["sequence"] = Json::Int64(++this->sequenceOfEntry);
    json["born"] = Json::UInt64(this->born);
    this->rig.put(this->entryKey(), settings::jsonText(json));
}

void Host::crash()
{
    this->alive = std::make_shared<int>(0);
    this->rig.loop.unwatch(this->socket->descriptor());
    this->socket.reset();
    this->flows.clear();
    this->queue.clear();
    this->running = 0;
}

bool Host::holdsOpen(const Key &key) const
{
    const auto found = this->flows.find(key);
    return this->isUp() && found != this->flows.end() && found->second.isOpen;
}

void Host::after(milliseconds delay, std::function<void()> task)
{
    this->rig.loop.after(delay,
                         [task = std::move(task), guard = std::weak_ptr<int>(this->alive)]() {
                             if (!guard.expired()) {
                                 task();
                             }
                         });
}

void Host::receive()
{
    this->socket->receive([this](std::span<std::uint8_t> datagram, const net::Endpoint &from) {
        this->handle(datagram, from.address);
    });
}

void Host::handle(std::span<const std::uint8_t> datagram, std::uint32_t vmAddress)
{
    if (datagram.size() < kIdBytes) {
        return;
    }
    std::uint64_t intended = 0;
    for (std::size_t i = 0; i < kIdBytes; ++i) {
        intended = intended << 8U | datagram[i];
    }
    const auto packet = platform::decodePacket(datagram.subspan(kIdBytes));
    if (!packet || !packet->hasValidChecksum || (intended != 0 && intended != this->id)) {
        return;
    }
    if (this->onPacket) {
        this->onPacket(*this, *packet, vmAddress);
    }
    packet->isSyn ? this->accept(*packet) : this->serve(*packet);
}

void Host::accept(const WirePacket &packet)
{
    const Key key{packet.source, packet.target};
    const auto [found, isNew] = this->flows.try_emplace(key);
    Flow &flow = found->second;
    if (!isNew) {
        return;
    }
    flow.sequence = static_cast<std::uint32_t>(flows::flowHash(key) ^ hash64(this->name())) | 1U;
    flow.clientSequence = packet.sequence + 1;
    flow.token = packet.token;
    this->rig.record.write(this->name() + " accepts the flow from port "
                           + std::to_string(key.client.port));
    this->sendSynAck(key, flow.step, kFirstRetransmission, kRetransmissions);
}

void Host::sendSynAck(const Key &key, int step, milliseconds delay, int copiesLeft)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end() || found->second.isOpen || found->second.step != step) {
        return;
    }
    const Flow &flow = found->second;
    this->send({.source = key.service,
                .target = key.client,
                .isSyn = true,
                .isAck = true,
                .sequence = flow.sequence,
                .acknowledged = flow.clientSequence,
                .token = flow.token});
    if (copiesLeft == 0) {
        this->after(delay, [this, key, step]() {
            const auto late = this->flows.find(key);
            if (late != this->flows.end() && !late->second.isOpen && late->second.step == step) {
                this->flows.erase(late);
            }
        });
        return;
    }
    this->after(delay, [this, key, step, delay, copiesLeft]() {
        this->sendSynAck(key, step, nextDelay(delay), copiesLeft - 1);
    });
}

void Host::serve(const WirePacket &packet)
{
    const Key key{packet.source, packet.target};
    const auto found = this->flows.find(key);
    if (packet.isRst) {
        this->flows.erase(key);
        return;
    }
    if (found == this->flows.end()) {
        this->send({.source = packet.target,
                    .target = packet.source,
                    .isRst = true,
                    .sequence = packet.acknowledged,
                    .token = packet.token});
        return;
    }
    Flow &flow = found->second;
    if (!flow.isOpen && packet.acknowledged != flow.sequence + 1) {
        // The client has opened the flow at another host.
        return;
    }
    if (!flow.isOpen) {
        flow.isOpen = true;
        ++flow.step;
    }
    flow.token = packet.token;
    if (!packet.payload.empty()) {
        this->receiveRequest(key, packet);
    } else if (packet.acknowledged == flow.sequence + 1 + flow.lastAnswered) {
        ++flow.step;
    }
    if (packet.isFin) {
        this->send({.source = key.service,
                    .target = key.client,
                    .isAck = true,
                    .isFin = true,
                    .sequence = packet.acknowledged,
                    .acknowledged = packet.sequence + 1,
                    .token = packet.token});
        this->flows.erase(key);
    }
}

void Host::receiveRequest(const Key &key, const WirePacket &packet)
{
    Flow &flow = this->flows[key];
    const std::uint32_t end = packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
    if (end == flow.lastRequest) {
        // The second copy is acknowledged at once.
        this->send({.source = key.service,
                    .target = key.client,
                    .isAck = true,
                    .sequence = flow.sequence + 1 + flow.lastAnswered,
                    .acknowledged = end,
                    .token = packet.token});
        return;
    }
    flow.lastRequest = end;
    const int step = ++flow.step;
    if (this->running >= kSlots && this->queue.size() >= kMaxQueue) {
        this->answer(key, step, "answers that it has not run the request");
        return;
    }
    this->queue.emplace_back(key, step);
    this->runNext();
}

void Host::runNext()
{
    if (this->running >= kSlots || this->queue.empty()) {
        return;
    }
    const auto [key, step] = this->queue.front();
    this->queue.pop_front();
    ++this->running;
    const int number = ++this->requestsRun;
    const milliseconds work = this->workTime ? this->workTime(number) : milliseconds(50);
    this->rig.record.write(this->name() + " runs the request on the flow from port "
                           + std::to_string(key.client.port));
    this->after(work, [this, key = key, step = step]() {
        --this->running;
        this->answer(key, step, "answers");
        this->runNext();
    });
}

void Host::answer(const Key &key, int step, const std::string &text)
{
    const auto found = this->flows.find(key);
    this->rig.record.write(this->name() + " " + text + " on the flow from port "
                           + std::to_string(key.client.port)
                           + (found == this->flows.end() ? ", which has ended" : ""));
    if (found == this->flows.end()) {
        return;
    }
    found->second.lastAnswered += kResponseBytes;
    this->sendResponse(key, step, kFirstRetransmission, kRetransmissions);
}

void Host::sendResponse(const Key &key, int step, milliseconds delay, int copiesLeft)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end() || found->second.step != step || copiesLeft < 0) {
        return;
    }
    const Flow &flow = found->second;
    this->send({.source = key.service,
                .target = key.client,
                .isAck = true,
                .sequence = flow.sequence + 1 + flow.lastAnswered
                    - static_cast<std::uint32_t>(kResponseBytes),
                .acknowledged = flow.lastRequest,
                .token = flow.token,
                .payload = std::vector<std::uint8_t>(kResponseBytes, 0x43)});
    this->after(delay, [this, key, step, delay, copiesLeft]() {
        this->sendResponse(key, step, nextDelay(delay), copiesLeft - 1);
    });
}

void Host::send(const WirePacket &packet)
{
    if (this->isLost && this->isLost(*this, packet)) {
        return;
    }
    this->socket->send(platform::encodePacket(packet), {packet.target.address, kClientPort});
    this->socket->flush();
}
}
