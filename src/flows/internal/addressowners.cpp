#include "flows/internal/addressowners.h"

#include "placement/types/upstreamentry.h"
#include "settings/types/configuration.h"

namespace radishladder::flows {
void AddressOwners::reload(const settings::Configuration &configuration)
{
    this->configured.clear();
    for (const settings::Service &service : configuration.services) {
        for (const settings::Upstream &upstream : service.upstreams) {
            this->configured.insert(upstream.tunnel);
        }
    }
}

bool AddressOwners::isReused(const placement::UpstreamEntry &entry) const
{
    // An entry that is no longer configured differs in name, address or service from whatever now
    // has its address, so that the flow's packets would reach a stranger.
    return !entry.configured && this->configured.contains(entry.upstream.tunnel);
}
}
