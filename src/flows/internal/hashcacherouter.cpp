#include "flows/hashcacherouter.h"

#include "flows/internal/flowcache.h"

namespace radishladder::flows {
namespace {
constexpr std::chrono::hours kTrust{1};
}

HashCacheRouter::HashCacheRouter(settings::IConfigurationSource &source, std::size_t cacheCapacity)
    : hashRouter(source), cache(std::make_unique<FlowCache>(cacheCapacity))
{ }

HashCacheRouter::~HashCacheRouter() = default;

PacketVerdict HashCacheRouter::route(std::span<std::uint8_t> packet, PacketSource source,
                                     std::chrono::steady_clock::time_point now)
{
    const auto info = this->parser.parse(packet);
    if (!info) {
        return {.reason = this->parser.lastReason()};
    }
    const std::uint64_t hash = info->key.hash();
    const FlowTime time = toFlowTime(now);
    const auto cached = this->cache->find(hash, time, kTrust);
    if (cached && !info->opens) {
        this->cache->touch(hash, *cached, *info, time);
        decrementTimeToLive(packet);
        return {.to = this->tunnels[*cached]};
    }
    const PacketVerdict verdict = this->hashRouter.route(packet, source, now);
    if (verdict.reason == ResultCode::Ok) {
        this->cache->touch(hash, this->indexOf(verdict.to), *info, time);
    }
    return verdict;
}

placement::UpstreamIndex HashCacheRouter::indexOf(const net::Endpoint &tunnel)
{
    const auto [entry, isNew] = this->indexes.try_emplace(
        tunnel, static_cast<placement::UpstreamIndex>(this->tunnels.size()));
    if (isNew) {
        this->tunnels.push_back(tunnel);
    }
    return entry->second;
}

void HashCacheRouter::tick(std::chrono::steady_clock::time_point now)
{
    this->cache->sweep(toFlowTime(now), kTrust);
}

void HashCacheRouter::prepareStop(std::chrono::steady_clock::time_point) { }

bool HashCacheRouter::isReadyToStop(std::chrono::steady_clock::time_point) const
{
    return true;
}
}
