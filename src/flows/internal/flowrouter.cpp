#include "flows/flowrouter.h"

#include "flows/internal/addressowners.h"
#include "flows/internal/confidence.h"
#include "flows/internal/flowcache.h"
#include "flows/internal/flowplacer.h"
#include "flows/internal/homedirectory.h"
#include "flows/internal/recordexchange.h"
#include "flows/internal/recordkeeper.h"
#include "flows/packetparser.h"
#include "global/iclock.h"
#include "membership/imembership.h"
#include "membership/types/member.h"
#include "placement/iplacement.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"
#include "telemetry/icounter.h"
#include "telemetry/igauge.h"
#include "telemetry/imetrics.h"

namespace radishladder::flows {
namespace {
constexpr std::uint16_t kRelayPortOffset = 1;
constexpr std::uint16_t kRecallPortOffset = 2;

//! A flow admitted here and unused here for longer gives its permit back: its end may have passed
//! through another VM.
constexpr std::chrono::seconds kPermitIdle{60};

PacketVerdict drop(ResultCode reason)
{
    return {.reason = reason};
}

bool isUdp(const FlowPacket &packet)
{
    return packet.info.key.protocol == static_cast<std::uint8_t>(settings::Protocol::Udp);
}
}

struct FlowRouter::Parts
{
    Parts(const FlowDependencies &dependencies, const FlowOptions &options)
        : placement(dependencies.placement), options(options),
          confidence(dependencies.membership, options),
          placer(dependencies.placement, dependencies.upstreams, dependencies.dataCentre),
          cache(options.cacheCapacity),
          records(dependencies.placement, placer, options.recordCapacity),
          homes(dependencies.membership, options),
          exchange(dependencies.transport, dependencies.placement, homes, records, cache,
                   dependencies.clock, options),
          recordGauge(dependencies.metrics.gauge("flow_records")),
          cacheGauge(dependencies.metrics.gauge("flow_cache_entries")),
          sentBytes(dependencies.metrics.counter("flow_replication_bytes_total"))
    { }

    placement::IPlacement &placement;
    FlowOptions options;
    PacketParser parser;
    Confidence confidence;
    FlowPlacer placer;
    FlowCache cache;
    RecordKeeper records;
    HomeDirectory homes;
    RecordExchange exchange;
    AddressOwners owners;
    telemetry::IGauge &recordGauge;
    telemetry::IGauge &cacheGauge;
    telemetry::ICounter &sentBytes;
    std::chrono::steady_clock::time_point stopBy{};
};

FlowRouter::FlowRouter(const FlowDependencies &dependencies, const FlowOptions &options)
    : parts(std::make_unique<Parts>(dependencies, options))
{
    const IClock &clock = dependencies.clock;
    this->parts->owners.reload(*dependencies.configuration.current());
    dependencies.configuration.subscribe([this, &clock](const settings::Configuration &changed) {
        this->parts->owners.reload(changed);
        // A data centre that is out moves homes away from its VMs.
        this->parts->homes.invalidate(clock.now());
    });
    dependencies.membership.subscribe([this, &clock](const membership::Member &member) {
        this->parts->homes.noteMember(member, clock.now());
    });
}

FlowRouter::~FlowRouter() = default;

PacketVerdict FlowRouter::route(std::span<std::uint8_t> packet, PacketSource source,
                                std::chrono::steady_clock::time_point now)
{
    Parts &parts = *this->parts;
    parts.confidence.observe(now);
    const auto info = parts.parser.parse(packet);
    if (!info) {
        return drop(parts.parser.lastReason());
    }
    const std::uint64_t hash = info->key.hash();
    // A large table lies in main memory; the look-ups below hide the wait.
    parts.records.prefetch(hash);
    const auto service = parts.placement.service(info->key.service, info->key.protocol);
    if (!service) {
        return drop(ResultCode::PacketUnknownAddress);
    }
    FlowPacket flow;
    flow.info = *info;
    flow.source = source;
    flow.hash = hash;
    flow.service = *service;
    flow.view = parts.placement.view(*service, flow.hash);
    flow.now = now;
    flow.time = toFlowTime(now);
    const PacketVerdict verdict = this->decide(flow);
    if (verdict.reason == ResultCode::Ok && !verdict.relayed) {
        decrementTimeToLive(packet);
    }
    return verdict;
}

PacketVerdict FlowRouter::decide(FlowPacket &packet)
{
    const bool isAgreed = !packet.view.contested && this->parts->confidence.isSure();
    return isAgreed ? this->routeByTable(packet) : this->routeContested(packet);
}

PacketVerdict FlowRouter::routeByTable(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    if (parts.records.size() > 0) {
        // Left from a time when the slot was contested or this VM was cut off.
        FlowRecord *record = parts.records.find(packet);
        const bool isReuse =
            record != nullptr && packet.info.opens && parts.records.hasEnded(*record, packet.time);
        if (record != nullptr && !isReuse) {
            parts.records.touch(*record, packet);
            return this->forward(packet, record->upstream);
        }
    }
    const placement::UpstreamIndex upstream = packet.view.current;
    if (!packet.info.opens || parts.cache.isOpening(packet.hash, upstream, packet.time)) {
        return this->forward(packet, upstream);
    }
    if (!parts.placer.admit(upstream, packet.now)) {
        return drop(parts.placer.lastReason());
    }
    const PacketVerdict verdict = this->forward(packet, upstream);
    parts.cache.markAdmitted(packet.hash);
    return verdict;
}

PacketVerdict FlowRouter::routeContested(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    const std::uint64_t key = parts.placement.homeKey(packet.service, packet.hash);
    if (parts.homes.lookup(key, packet.now).isHome) {
        return this->routeAsHome(packet);
    }
    if (packet.source == PacketSource::Recall) {
        return this->answerRecall(packet);
    }
    // The last packets of a flow go by its home, whose record would otherwise outlive the flow and
    // keep the slot contested.
    const bool mayUseCache = !packet.info.opens && !packet.info.finishes && !packet.info.resets;
    if (mayUseCache || packet.source != PacketSource::Fabric) {
        const auto cached = parts.cache.find(packet.hash, packet.time, parts.options.cacheTrust);
        if (cached && !packet.info.opens) {
            return this->forwardUnrecorded(packet, *cached);
        }
    }
    return packet.source == PacketSource::Relay ? this->answerRelay(packet)
                                                : this->relayHome(packet);
}

PacketVerdict FlowRouter::routeAsHome(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    FlowRecord *record = parts.records.find(packet);
    if (record == nullptr) {
        return this->routeWithoutRecord(packet);
    }
    if (packet.info.opens && parts.records.hasEnded(*record, packet.time)) {
        // The caller uses the port for a new flow.
        return this->placeNew(packet);
    }
    parts.records.touch(*record, packet);
    return this->forward(packet, record->upstream);
}

PacketVerdict FlowRouter::routeWithoutRecord(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    if (!packet.info.opens) {
        const auto cached = parts.cache.find(packet.hash, packet.time, parts.options.cacheTrust);
        if (cached) {
            return this->forwardUnrecorded(packet, *cached);
        }
    }
    const std::uint64_t key = parts.placement.homeKey(packet.service, packet.hash);
    if (!parts.homes.lookup(key, packet.now).isSettled) {
        // The VM that is asked answers by its own confidence.
        return this->recall(packet);
    }
    if (!parts.confidence.isSure()) {
        const bool serveLocally = packet.info.opens && parts.confidence.isCutOff(packet.now);
        return serveLocally ? this->placeNew(packet) : drop(ResultCode::FlowDoubtful);
    }
    if (packet.info.opens) {
        return this->placeNew(packet);
    }
    return this->forwardOldest(packet);
}

PacketVerdict FlowRouter::answerRecall(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    FlowRecord *record = parts.records.find(packet);
    if (record != nullptr && !parts.records.isOver(*record, packet.time)
        && !(packet.info.opens && parts.records.hasEnded(*record, packet.time))) {
        parts.records.touch(*record, packet);
        return this->forward(packet, record->upstream);
    }
    if (!packet.info.opens) {
        const auto cached = parts.cache.find(packet.hash, packet.time, parts.options.cacheTrust);
        if (cached) {
            return this->forwardUnrecorded(packet, *cached);
        }
    }
    const std::uint64_t key = parts.placement.homeKey(packet.service, packet.hash);
    const bool mayAnswer =
        parts.homes.lookup(key, packet.now).wasSettled && parts.confidence.isSure();
    if (!mayAnswer) {
        return drop(ResultCode::FlowOwnerUnknown);
    }
    if (!packet.info.opens) {
        return this->forwardOldest(packet);
    }
    // Once the home believes that it has every record, one more would come too late: the caller's
    // next packet would be taken for an old flow. The first packet comes again and finds the home
    // settled.
    const PeerId home = parts.homes.lookup(key, packet.now).ranks[0];
    return parts.exchange.hasServed(home) ? drop(ResultCode::FlowOwnerUnknown)
                                          : this->placeNew(packet);
}

PacketVerdict FlowRouter::answerRelay(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    FlowRecord *record = parts.records.find(packet);
    const bool mayUse = record != nullptr
        && flowAge(packet.time, record->lastUsed) <= parts.options.cacheTrust
        && (!packet.info.opens || record->has(FlowRecord::Opening));
    if (!mayUse) {
        return drop(ResultCode::FlowRelayLoop);
    }
    parts.records.touch(*record, packet);
    return this->forward(packet, record->upstream);
}

PacketVerdict FlowRouter::relayHome(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    const std::uint64_t key = parts.placement.homeKey(packet.service, packet.hash);
    const PeerId home = parts.homes.lookup(key, packet.now).ranks[0];
    const membership::Member *member = parts.homes.reachable(home);
    if (member == nullptr) {
        return drop(ResultCode::FlowOwnerUnknown);
    }
    if (packet.info.opens) {
        parts.cache.erase(packet.hash);
    }
    net::Endpoint to = member->data;
    to.port = static_cast<std::uint16_t>(to.port + kRelayPortOffset);
    return {.to = to, .relayed = true};
}

PacketVerdict FlowRouter::recall(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    const std::uint64_t key = parts.placement.homeKey(packet.service, packet.hash);
    const PeerId ask = parts.homes.lookup(key, packet.now).ask;
    const membership::Member *member = parts.homes.reachable(ask);
    if (packet.source == PacketSource::Recall || member == nullptr) {
        return drop(ResultCode::FlowOwnerUnknown);
    }
    net::Endpoint to = member->data;
    to.port = static_cast<std::uint16_t>(to.port + kRecallPortOffset);
    return {.to = to, .relayed = true};
}

PacketVerdict FlowRouter::placeNew(FlowPacket &packet)
{
    Parts &parts = *this->parts;
    const bool isSure = parts.confidence.isSure();
    const auto upstream = isSure ? parts.placer.place(packet) : parts.placer.placeLocal(packet);
    if (!upstream) {
        return drop(parts.placer.lastReason());
    }
    const bool isReuse = parts.records.find(packet) != nullptr;
    FlowRecord *record = parts.records.add(packet.hash, *upstream, packet.view.current, packet.now);
    if (record == nullptr) {
        parts.placer.release(*upstream, packet.now);
        return drop(ResultCode::FlowTableFull);
    }
    record->flags |= FlowRecord::Admitted | (packet.info.opens ? FlowRecord::Opening : 0);
    const bool isHome =
        parts.homes.lookup(parts.placement.homeKey(packet.service, packet.hash), packet.now).isHome;
    if (record->has(FlowRecord::OffTable) || isReuse || !isHome) {
        parts.exchange.sendSoon(packet.hash);
    }
    if (isReuse) {
        parts.exchange.correctCaches(packet.hash, *upstream);
    }
    return this->forward(packet, *upstream);
}

PacketVerdict FlowRouter::forwardOldest(FlowPacket &packet)
{
    const placement::UpstreamIndex oldest = packet.view.oldest;
    if (!isUdp(packet)) {
        return this->forwardUnrecorded(packet, oldest);
    }
    // Nothing marks the first packet of a UDP flow, so that it counts as established while its
    // upstream is there.
    const bool isThere = oldest != placement::kNoUpstream
        && this->parts->placement.upstream(oldest).configured
        && !this->parts->placement.upstream(oldest).dataCentreOut
        && this->parts->placer.isAnswering(oldest);
    return isThere ? this->forwardUnrecorded(packet, oldest) : this->placeNew(packet);
}

PacketVerdict FlowRouter::forwardUnrecorded(FlowPacket &packet, placement::UpstreamIndex upstream)
{
    if (packet.view.contested && upstream == packet.view.oldest) {
        this->parts->placement.noteOldestUsed(packet.service, packet.now);
    }
    return this->forward(packet, upstream);
}

PacketVerdict FlowRouter::forward(FlowPacket &packet, placement::UpstreamIndex upstream)
{
    Parts &parts = *this->parts;
    if (upstream == placement::kNoUpstream) {
        return drop(ResultCode::FlowNoUpstream);
    }
    const placement::UpstreamEntry &entry = parts.placement.upstream(upstream);
    if (entry.service != packet.service) {
        return drop(ResultCode::FlowOwnerUnknown);
    }
    if (entry.dataCentreOut || parts.owners.isReused(entry)) {
        return drop(ResultCode::FlowGivenUp);
    }
    parts.cache.touchSoon(packet.hash, upstream, packet.info, packet.time);
    return {.to = entry.upstream.tunnel};
}

void FlowRouter::tick(std::chrono::steady_clock::time_point now)
{
    Parts &parts = *this->parts;
    parts.confidence.tick(now);
    parts.cache.sweep(toFlowTime(now), kPermitIdle);
    for (const placement::UpstreamIndex upstream : parts.cache.takeEnded()) {
        parts.placer.release(upstream, now);
    }
    parts.exchange.tick(now);
    parts.recordGauge.set(static_cast<double>(parts.records.size()));
    parts.cacheGauge.set(static_cast<double>(parts.cache.size()));
    parts.sentBytes.add(parts.exchange.sentBytes() - parts.sentBytes.value());
}

void FlowRouter::prepareStop(std::chrono::steady_clock::time_point now)
{
    this->parts->stopBy = now + this->parts->options.handOverBound;
    this->parts->exchange.beginHandOver(now);
}

bool FlowRouter::isReadyToStop(std::chrono::steady_clock::time_point now) const
{
    return this->parts->exchange.isHandedOver() || now >= this->parts->stopBy;
}
}
