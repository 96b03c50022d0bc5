#pragma once

#include "flows/hashrouter.h"
#include "placement/types/upstreamindex.h"

#include <memory>
#include <vector>

namespace radishladder::flows {
class FlowCache;

//! Baseline: plain hash, but a VM keeps sending flows that it has seen where it sent them before.
class HashCacheRouter : public IFlowRouter
{
public:
    HashCacheRouter(settings::IConfigurationSource &source, std::size_t cacheCapacity);
    ~HashCacheRouter() override;

    PacketVerdict route(std::span<std::uint8_t> packet, PacketSource source,
                        std::chrono::steady_clock::time_point now) override;
    void tick(std::chrono::steady_clock::time_point now) override;
    void prepareStop(std::chrono::steady_clock::time_point now) override;
    bool isReadyToStop(std::chrono::steady_clock::time_point now) const override;

private:
    placement::UpstreamIndex indexOf(const net::Endpoint &tunnel);

    HashRouter hashRouter;
    PacketParser parser;
    std::unique_ptr<FlowCache> cache;
    std::vector<net::Endpoint> tunnels;
    std::map<net::Endpoint, placement::UpstreamIndex> indexes;
};
}
