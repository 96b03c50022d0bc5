#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace radishladder::radishbench {

//! Records which service ports the configurations of a run routed, and when routes were removed.
class PublishedRoutes
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Records that a configuration with routes for \a ports was written at \a now.
    void publish(const std::vector<std::uint16_t> &ports, TimePoint now);

    //! Returns when the route for \a port was removed, the epoch of the clock if it was never
    //! published, and std::nullopt while it is published.
    std::optional<TimePoint> removedAt(std::uint16_t port) const;

    //! Returns true if the route for \a port is missing, or was removed after \a since even if a
    //! later configuration restored it.
    bool wasRemovedAfter(std::uint16_t port, TimePoint since) const;

private:
    struct Route
    {
        bool isPublished = false;

        //! When a configuration last removed the route; the epoch of the clock if none did.
        TimePoint removed;
    };

    std::map<std::uint16_t, Route> routes;
};
}
