#include "settings/duplicatecheck.h"

#include "settings/types/configuration.h"

#include <string_view>
#include <unordered_set>

namespace radishladder::settings {
namespace {
std::uint64_t endpointKey(const net::Endpoint &endpoint, std::uint8_t protocol)
{
    return static_cast<std::uint64_t>(endpoint.address) << 24
        | static_cast<std::uint64_t>(endpoint.port) << 8 | protocol;
}
}

std::optional<Reason> findDuplicate(const Configuration &configuration)
{
    std::unordered_set<std::string_view> services;
    std::unordered_set<std::string_view> upstreams;
    std::unordered_set<std::uint64_t> addresses;
    std::unordered_set<std::uint64_t> tunnels;
    for (const Service &service : configuration.services) {
        const std::string path = "/services/" + service.name.str();
        if (!services.insert(service.name.str()).second) {
            return Reason{ResultCode::DuplicateName, path + "/name is used twice"};
        }
        if (!addresses
                 .insert(endpointKey(service.address, static_cast<std::uint8_t>(service.protocol)))
                 .second) {
            return Reason{ResultCode::DuplicateAddress,
                          path + "/address is used twice with the same port and protocol"};
        }
        for (const Upstream &upstream : service.upstreams) {
            const std::string_view name = upstream.name.str();
            if (!upstreams.insert(name).second) {
                return Reason{ResultCode::DuplicateName,
                              path + "/upstreams/" + upstream.name.str() + "/name is used twice"};
            }
            if (!tunnels.insert(endpointKey(upstream.tunnel, 0)).second) {
                return Reason{ResultCode::DuplicateAddress,
                              path + "/upstreams/" + upstream.name.str()
                                  + "/address is used twice with the same tunnel port"};
            }
        }
    }
    return std::nullopt;
}
}
