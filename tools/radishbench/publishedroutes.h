#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace radishladder::radishbench {

//! Which ports the configurations of a run allowed, and until when.
class PublishedRoutes
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! The store acknowledged a configuration with routes at \a ports.
    void publish(const std::vector<std::uint16_t> &ports, TimePoint now);

    //! When the route at \a port was removed, the start of the run if it never was there;
    //! std::nullopt while it is there.
    std::optional<TimePoint> removedAt(std::uint16_t port) const;

    //! True if a configuration dropped the route at \a port after \a since, back by now or not.
    bool wasRemovedAfter(std::uint16_t port, TimePoint since) const;

private:
    struct Route
    {
        bool isThere = false;

        //! When a configuration last dropped it; the start of the run if none did.
        TimePoint removed;
    };

    std::map<std::uint16_t, Route> routes;
};
}
