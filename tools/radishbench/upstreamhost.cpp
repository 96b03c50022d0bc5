#include "radishbench/upstreamhost.h"

#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "platform/standins/wirepacket.h"
#include "radishbench/calm.h"
#include "radishbench/publishedroutes.h"
#include "radishbench/verdicts.h"
#include "standins/memorystore.h"
#include "upstreams/types/upstreamid.h"

namespace radishladder::radishbench {
namespace {
using platform::WirePacket;
using std::chrono::steady_clock;

constexpr std::size_t kIdBytes = 8;
constexpr std::chrono::milliseconds kWork{20};

constexpr std::chrono::milliseconds kDrainBound{3000};
constexpr std::chrono::milliseconds kEvacuationBound{5000};
constexpr std::chrono::milliseconds kConfigurationBound{3000};

//! In one second, as the settings' defaults for overage and slack allow.
constexpr std::size_t kMostColdOpenings = platform::kWarmupFlowsPerSecond * 3 / 2 + 5;
}

UpstreamHost::UpstreamHost(net::IEventLoop &loop, standins::MemoryStore &store, Verdicts &verdicts,
                           platform::UpstreamEntry entry, net::Endpoint callerPort,
                           const Calm &calm, const PublishedRoutes &routes)
    : loop(loop), store(store), verdicts(verdicts), entry(std::move(entry)), callerPort(callerPort),
      calm(calm), routes(routes)
{ }

UpstreamHost::~UpstreamHost()
{
    if (this->socket) {
        this->loop.unwatch(this->socket->descriptor());
    }
}

bool UpstreamHost::start()
{
    Reason reason;
    this->socket = net::BatchSocket::open(this->entry.address, reason);
    if (!this->socket) {
        return false;
    }
    this->loop.watchReadable(this->socket->descriptor(), [this]() { this->receive(); });
    this->coldUntil = steady_clock::now() + std::chrono::milliseconds(this->entry.coldMs);
    this->publish();
    return true;
}

void UpstreamHost::publish()
{
    this->store.put(platform::entryKey(this->entry.id), platform::entryValue(this->entry));
}

void UpstreamHost::drain()
{
    this->entry.draining = true;
    this->drainedAt = steady_clock::now();
    this->publish();
}

void UpstreamHost::crash(std::chrono::milliseconds lapse)
{
    this->loop.unwatch(this->socket->descriptor());
    this->socket.reset();
    this->flows.clear();
    this->loop.after(lapse, [this, guard = std::weak_ptr<int>(this->alive)]() {
        if (!guard.expired()) {
            this->store.remove(platform::entryKey(this->entry.id));
        }
    });
}

void UpstreamHost::leave()
{
    this->crash(std::chrono::milliseconds(0));
}

std::optional<std::uint32_t> UpstreamHost::heldFlow(const flows::FlowKey &flow) const
{
    const auto held = this->flows.find(flow);
    return held == this->flows.end() ? std::nullopt : std::optional(held->second.sequence);
}

void UpstreamHost::receive()
{
    this->socket->receive([this](std::span<std::uint8_t> datagram, const net::Endpoint &from) {
        this->handle(datagram, from.address);
    });
}

void UpstreamHost::handle(std::span<const std::uint8_t> datagram, std::uint32_t vmAddress)
{
    if (datagram.size() < kIdBytes) {
        this->verdicts.breakPromise("unasked", "short datagram");
        return;
    }
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < kIdBytes; ++i) {
        id = id << 8U | datagram[i];
    }
    const auto packet = platform::decodePacket(datagram.subspan(kIdBytes));
    if (!packet || !packet->hasValidChecksum) {
        this->verdicts.breakPromise("unasked", "packet that no caller wrote");
    } else if (id != 0 && id != this->entry.id) {
        this->verdicts.count("packets for an earlier upstream");
    } else if (packet->opens) {
        this->accept(*packet, vmAddress);
    } else {
        this->serve(*packet);
    }
}

void UpstreamHost::accept(const WirePacket &packet, std::uint32_t vmAddress)
{
    const auto now = steady_clock::now();
    this->checkChanges(packet, vmAddress, now);
    if (now < this->coldUntil) {
        this->checkWarmup(now);
    }
    const flows::FlowKey key{packet.source, packet.target};
    Flow &flow = this->flows[key];
    if (flow.sequence == 0) {
        flow.sequence = static_cast<std::uint32_t>(flows::flowHash(key) ^ this->entry.id) | 1U;
    }
    this->send({.source = packet.target,
                .target = packet.source,
                .opens = true,
                .acknowledges = true,
                .sequence = flow.sequence,
                .acknowledged = packet.sequence + 1,
                .token = packet.token});
}

void UpstreamHost::checkChanges(const WirePacket &packet, std::uint32_t vmAddress, TimePoint now)
{
    if (this->entry.draining && this->calm.isLate(vmAddress, this->drainedAt, kDrainBound, now)) {
        this->verdicts.breakPromise("drain", this->lateFlow(vmAddress, this->drainedAt));
    }
    if (this->outSince && this->calm.isLate(vmAddress, *this->outSince, kEvacuationBound, now)) {
        this->verdicts.breakPromise("evacuation", this->lateFlow(vmAddress, *this->outSince));
    }
    if (packet.target.port % 2 != (this->entry.service == "portal" ? 0 : 1)) {
        this->verdicts.breakPromise("route", "flow of another service");
    }
    const auto removed = this->routes.removedAt(packet.target.port);
    if (removed && this->calm.isLate(vmAddress, *removed, kConfigurationBound, now)) {
        this->verdicts.breakPromise("configuration", this->lateFlow(vmAddress, *removed));
    }
}

void UpstreamHost::checkWarmup(TimePoint now)
{
    this->coldOpenings.push_back(now);
    while (now - this->coldOpenings.front() > std::chrono::seconds(1)) {
        this->coldOpenings.pop_front();
    }
    if (this->coldOpenings.size() > kMostColdOpenings) {
        this->verdicts.breakPromise("warm-up",
                                    "upstream " + upstreams::upstreamIdText({this->entry.id})
                                        + " got more first packets than a cold one bears");
    }
}

std::string UpstreamHost::lateFlow(std::uint32_t vmAddress, TimePoint change) const
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - change);
    return "upstream " + upstreams::upstreamIdText({this->entry.id}) + " took a new flow from "
        + net::addressText(vmAddress) + ", " + std::to_string(age.count()) + " ms after the change";
}

void UpstreamHost::serve(const WirePacket &packet)
{
    const flows::FlowKey key{packet.source, packet.target};
    const auto held = this->flows.find(key);
    if (packet.resets) {
        this->flows.erase(key);
        return;
    }
    if (held == this->flows.end()) {
        this->send({.source = packet.target,
                    .target = packet.source,
                    .resets = true,
                    .sequence = packet.acknowledged});
        return;
    }
    held->second.isOpen = true;
    if (packet.finishes) {
        this->flows.erase(held);
        return;
    }
    if (packet.payload.empty()) {
        return;
    }
    const WirePacket answer{.source = packet.target,
                            .target = packet.source,
                            .acknowledges = true,
                            .sequence = packet.acknowledged,
                            .acknowledged =
                                packet.sequence + static_cast<std::uint32_t>(packet.payload.size()),
                            .token = packet.token,
                            .payload = packet.payload};
    this->loop.after(kWork, [this, answer, guard = std::weak_ptr<int>(this->alive)]() {
        if (!guard.expired() && this->socket) {
            this->send(answer);
        }
    });
}

void UpstreamHost::send(const WirePacket &packet)
{
    this->socket->send(platform::encodePacket(packet),
                       {packet.target.address, this->callerPort.port});
    this->socket->flush();
}
}
