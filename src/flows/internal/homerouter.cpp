#include "flows/homerouter.h"

#include "flows/hashcacherouter.h"
#include "membership/imembership.h"
#include "membership/types/member.h"

namespace radishladder::flows {
HomeRouter::HomeRouter(settings::IConfigurationSource &source,
                       const membership::IMembership &membership, std::size_t capacity)
    : membership(membership), homeRouter(std::make_unique<HashCacheRouter>(source, capacity))
{ }

HomeRouter::~HomeRouter() = default;

PacketVerdict HomeRouter::route(std::span<std::uint8_t> packet, PacketSource source,
                                std::chrono::steady_clock::time_point now)
{
    const auto info = this->parser.parse(packet);
    if (!info) {
        return {.reason = this->parser.lastReason()};
    }
    const auto ranked = this->membership.ranked(info->key.hash(), 1);
    const bool isHome = ranked.empty() || ranked[0] == this->membership.self();
    if (isHome || source != PacketSource::Fabric) {
        return this->homeRouter->route(packet, source, now);
    }
    const membership::Member *home = this->membership.find(ranked[0]);
    if (home == nullptr) {
        return {.reason = ResultCode::FlowOwnerUnknown};
    }
    net::Endpoint to = home->data;
    ++to.port;
    return {.to = to, .relayed = true};
}

void HomeRouter::tick(std::chrono::steady_clock::time_point now)
{
    this->homeRouter->tick(now);
}

void HomeRouter::prepareStop(std::chrono::steady_clock::time_point) { }

bool HomeRouter::isReadyToStop(std::chrono::steady_clock::time_point) const
{
    return true;
}
}
