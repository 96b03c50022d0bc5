#include "radishbench/publishedroutes.h"

#include <algorithm>

namespace radishladder::radishbench {
void PublishedRoutes::publish(const std::vector<std::uint16_t> &ports, TimePoint now)
{
    for (auto &[port, removed] : this->routes) {
        if (!removed && std::ranges::find(ports, port) == ports.end()) {
            removed = now;
        }
    }
    for (const std::uint16_t port : ports) {
        this->routes[port].reset();
    }
}

std::optional<PublishedRoutes::TimePoint> PublishedRoutes::removedAt(std::uint16_t port) const
{
    const auto route = this->routes.find(port);
    return route == this->routes.end() ? TimePoint() : route->second;
}
}
