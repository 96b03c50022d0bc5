#include "radishbench/upstreamhost.h"

#include "net/batchsocket.h"
#include "net/ieventloop.h"
#include "platform/standins/wirepacket.h"
#include "radishbench/checkresults.h"
#include "radishbench/disturbancetracker.h"
#include "radishbench/publishedroutes.h"
#include "standins/memorystore.h"
#include "upstreams/types/upstreamid.h"

#include <algorithm>

namespace radishladder::radishbench {
namespace {
using platform::WirePacket;
using std::chrono::steady_clock;

constexpr std::size_t kIdBytes = 8;
constexpr std::chrono::milliseconds kServiceTime{20};

constexpr std::chrono::milliseconds kDrainBound{3000};
constexpr std::chrono::milliseconds kEvacuationBound{5000};
constexpr std::chrono::milliseconds kConfigurationBound{3000};

//! The first SYN+ACK of one flow in this many is lost.
constexpr std::uint64_t kSynAckLossOneIn = 20;

//! Upstreams send a SYN+ACK that is not acknowledged again after this time, which doubles up to the
//! maximum.
constexpr std::chrono::milliseconds kFirstSynAckDelay{200};
constexpr std::chrono::milliseconds kMaxSynAckDelay{1600};
constexpr int kSynAckRepeats = 8;

//! Packets of a flow that reach another upstream than its own within the time-out of flows; fewer
//! do no harm.
constexpr int kMaxForeignPackets = 2;
constexpr std::chrono::milliseconds kFlowTimeout{2000};

//! Sequence numbers of a flow stay within this many bytes of its SYN+ACK.
constexpr std::uint32_t kMaxFlowBytes = 1U << 20U;

//! Most SYNs that a cold upstream may get in one second: the configured rate with the overage and
//! slack that the settings allow by default.
constexpr std::size_t kMaxColdSyns = platform::kWarmupFlowsPerSecond * 3 / 2 + 5;
}

UpstreamHost::UpstreamHost(net::IEventLoop &loop, standins::MemoryStore &store,
                           CheckResults &results, platform::UpstreamEntry entry,
                           net::Endpoint clientEndpoint, const DisturbanceTracker &disturbances,
                           const PublishedRoutes &routes)
    : loop(loop), store(store), results(results), entry(std::move(entry)),
      clientEndpoint(clientEndpoint), disturbances(disturbances), routes(routes)
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
    this->hasEntry = true;
    this->store.put(platform::entryKey(this->entry.id), platform::entryValue(this->entry));
}

void UpstreamHost::drain()
{
    this->entry.draining = true;
    this->drainingSince = steady_clock::now();
    this->publish();
}

void UpstreamHost::crash(std::chrono::milliseconds entryExpiry)
{
    this->loop.unwatch(this->socket->descriptor());
    this->socket.reset();
    this->flows.clear();
    this->loop.after(entryExpiry, [this, guard = std::weak_ptr<int>(this->alive)]() {
        if (!guard.expired()) {
            this->hasEntry = false;
            this->store.remove(platform::entryKey(this->entry.id));
        }
    });
}

void UpstreamHost::writeAgain()
{
    if (this->isUp()) {
        this->publish();
    } else if (!this->hasEntry) {
        this->store.remove(platform::entryKey(this->entry.id));
    }
}

void UpstreamHost::leave()
{
    this->crash(std::chrono::milliseconds(0));
}

std::optional<std::uint32_t> UpstreamHost::flowSequence(const flows::FlowKey &flow) const
{
    const auto found = this->flows.find(flow);
    return found == this->flows.end() ? std::nullopt : std::optional(found->second.sequence);
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
        this->results.recordViolation("unasked", "datagram shorter than its upstream id");
        return;
    }
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < kIdBytes; ++i) {
        id = id << 8U | datagram[i];
    }
    const auto packet = platform::decodePacket(datagram.subspan(kIdBytes));
    if (!packet || !packet->hasValidChecksum) {
        this->results.recordViolation("unasked", "packet that no caller wrote");
    } else if (id != 0 && id != this->entry.id) {
        this->results.count("packets for an earlier upstream");
    } else if (packet->isSyn) {
        this->accept(*packet, vmAddress);
    } else {
        this->serve(*packet, vmAddress);
    }
}

void UpstreamHost::accept(const WirePacket &packet, std::uint32_t vmAddress)
{
    const auto now = steady_clock::now();
    this->checkNewFlow(packet, vmAddress, now);
    if (now < this->coldUntil) {
        this->checkWarmup(now);
    }
    const flows::FlowKey key{packet.source, packet.target};
    const auto [found, isNew] = this->flows.try_emplace(key);
    Flow &flow = found->second;
    if (isNew) {
        flow.sequence = static_cast<std::uint32_t>(flows::flowHash(key) ^ this->entry.id) | 1U;
    }
    const WirePacket synAck{.source = packet.target,
                            .target = packet.source,
                            .isSyn = true,
                            .isAck = true,
                            .sequence = flow.sequence,
                            .acknowledged = packet.sequence + 1,
                            .token = packet.token};
    if (isNew) {
        this->repeatSynAck(synAck, kFirstSynAckDelay, kSynAckRepeats);
    }
    if (isNew && this->isLost(key)) {
        this->results.count("fault: SYN+ACK lost");
        return;
    }
    this->send(synAck);
}

bool UpstreamHost::isLost(const flows::FlowKey &flow) const
{
    return (flows::flowHash(flow) ^ this->entry.id) % kSynAckLossOneIn == 0;
}

void UpstreamHost::repeatSynAck(const WirePacket &synAck, std::chrono::milliseconds delay,
                                int times)
{
    this->loop.after(
        delay, [this, synAck, delay, times, guard = std::weak_ptr<int>(this->alive)]() {
            if (guard.expired() || !this->socket) {
                return;
            }
            const auto found = this->flows.find({synAck.target, synAck.source});
            if (found == this->flows.end() || found->second.isOpen) {
                return;
            }
            this->send(synAck);
            if (times > 1) {
                this->repeatSynAck(synAck, std::min(delay * 2, kMaxSynAckDelay), times - 1);
            }
        });
}

void UpstreamHost::recordForeign(Flow &flow, const WirePacket &packet, std::uint32_t vmAddress)
{
    const auto now = steady_clock::now();
    if (flow.foreignPackets == 0) {
        flow.firstForeign = now;
    }
    ++flow.foreignPackets;
    this->results.count("packets at another upstream than the flow's");
    if (flow.foreignPackets > kMaxForeignPackets
        && this->disturbances.isLate(vmAddress, flow.firstForeign, kFlowTimeout, now)) {
        this->results.recordViolation("flow",
                                      "packets of the flow from port "
                                          + std::to_string(packet.source.port)
                                          + " reach an upstream that is not its own");
    }
}

void UpstreamHost::checkNewFlow(const WirePacket &packet, std::uint32_t vmAddress, TimePoint now)
{
    if (this->entry.draining
        && this->disturbances.isLate(vmAddress, this->drainingSince, kDrainBound, now)) {
        this->results.recordViolation("drain", this->lateFlowText(vmAddress, this->drainingSince));
    }
    if (this->evacuatedSince
        && this->disturbances.isLate(vmAddress, *this->evacuatedSince, kEvacuationBound, now)) {
        this->results.recordViolation("evacuation",
                                      this->lateFlowText(vmAddress, *this->evacuatedSince));
    }
    if (packet.target.port % 2 != (this->entry.service == "portal" ? 0 : 1)) {
        this->results.recordViolation("route", "flow of another service");
    }
    const auto removed = this->routes.removedAt(packet.target.port);
    if (removed && this->disturbances.isLate(vmAddress, *removed, kConfigurationBound, now)) {
        this->results.recordViolation("configuration", this->lateFlowText(vmAddress, *removed));
    }
}

void UpstreamHost::checkWarmup(TimePoint now)
{
    this->coldSynTimes.push_back(now);
    while (now - this->coldSynTimes.front() > std::chrono::seconds(1)) {
        this->coldSynTimes.pop_front();
    }
    if (this->coldSynTimes.size() > kMaxColdSyns) {
        this->results.recordViolation("warm-up",
                                      "upstream " + upstreams::upstreamIdText({this->entry.id})
                                          + " got more SYNs in one second than its warm-up allows");
    }
}

std::string UpstreamHost::lateFlowText(std::uint32_t vmAddress, TimePoint change) const
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - change);
    return "upstream " + upstreams::upstreamIdText({this->entry.id}) + " received a new flow from "
        + net::addressText(vmAddress) + ", " + std::to_string(age.count()) + " ms after the change";
}

void UpstreamHost::serve(const WirePacket &packet, std::uint32_t vmAddress)
{
    const flows::FlowKey key{packet.source, packet.target};
    const auto found = this->flows.find(key);
    if (packet.isRst) {
        this->flows.erase(key);
        return;
    }
    if (found == this->flows.end()) {
        this->send({.source = packet.target,
                    .target = packet.source,
                    .isRst = true,
                    .sequence = packet.acknowledged});
        return;
    }
    if (packet.acknowledged - found->second.sequence > kMaxFlowBytes) {
        this->recordForeign(found->second, packet, vmAddress);
        return;
    }
    found->second.isOpen = true;
    if (packet.isFin) {
        this->flows.erase(found);
        return;
    }
    if (packet.payload.empty()) {
        return;
    }
    const WirePacket response{.source = packet.target,
                              .target = packet.source,
                              .isAck = true,
                              .sequence = packet.acknowledged,
                              .acknowledged = packet.sequence
                                  + static_cast<std::uint32_t>(packet.payload.size()),
                              .token = packet.token,
                              .payload = packet.payload};
    this->loop.after(kServiceTime, [this, response, guard = std::weak_ptr<int>(this->alive)]() {
        if (!guard.expired() && this->socket) {
            this->send(response);
        }
    });
}

void UpstreamHost::send(const WirePacket &packet)
{
    this->socket->send(platform::encodePacket(packet),
                       {packet.target.address, this->clientEndpoint.port});
    this->socket->flush();
}
}
