#include "radishbench/publishedroutes.h"

#include <algorithm>

namespace radishladder::radishbench {
void PublishedRoutes::publish(const std::vector<std::uint16_t> &ports, TimePoint now)
{
    for (auto &[port, route] : this->routes) {
        if (route.isPublished && std::ranges::find(ports, port) == ports.end()) {
            route = {.isPublished = false, .removed = now};
        }
    }
    for (const std::uint16_t port : ports) {
        this->routes[port].isPublished = true;
    }
}

std::optional<PublishedRoutes::TimePoint> PublishedRoutes::removedAt(std::uint16_t port) const
{
    const auto route = this->routes.find(port);
    if (route == this->routes.end()) {
        return TimePoint();
    }
    return route->second.isPublished ? std::nullopt : std::optional(route->second.removed);
}

bool PublishedRoutes::wasRemovedAfter(std::uint16_t port, TimePoint since) const
{
    const auto route = this->routes.find(port);
    return route == this->routes.end() || !route->second.isPublished
        || route->second.removed > since;
}
}
