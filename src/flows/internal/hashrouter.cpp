#include "flows/hashrouter.h"

#include "global/hash.h"
#include "settings/iconfigurationsource.h"
#include "settings/types/configuration.h"

namespace radishladder::flows {
HashRouter::HashRouter(settings::IConfigurationSource &source) : source(source)
{
    this->reload(*source.current());
    source.subscribe(
        [this](const settings::Configuration &configuration) { this->reload(configuration); });
}

void HashRouter::reload(const settings::Configuration &configuration)
{
    this->services.clear();
    for (const settings::Service &service : configuration.services) {
        this->services[{service.address, static_cast<std::uint8_t>(service.protocol)}] =
            std::make_shared<const settings::Service>(service);
    }
}

PacketVerdict HashRouter::route(std::span<std::uint8_t> packet, PacketSource,
                                std::chrono::steady_clock::time_point)
{
    const auto info = this->parser.parse(packet);
    if (!info) {
        return {.reason = this->parser.lastReason()};
    }
    const auto found = this->services.find({info->key.service, info->key.protocol});
    if (found == this->services.end()) {
        return {.reason = ResultCode::PacketUnknownAddress};
    }
    const std::uint64_t hash = info->key.hash();
    const settings::Upstream *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const settings::Upstream &upstream : found->second->upstreams) {
        const std::uint64_t score = rendezvousScore(hash, upstream.name.str());
        if (!upstream.drain && (best == nullptr || score > bestScore)) {
            best = &upstream;
            bestScore = score;
        }
    }
    if (best == nullptr) {
        return {.reason = ResultCode::FlowNoUpstream};
    }
    decrementTimeToLive(packet);
    return {.to = best->tunnel};
}

void HashRouter::tick(std::chrono::steady_clock::time_point) { }

void HashRouter::prepareStop(std::chrono::steady_clock::time_point) { }

bool HashRouter::isReadyToStop(std::chrono::steady_clock::time_point) const
{
    return true;
}
}
