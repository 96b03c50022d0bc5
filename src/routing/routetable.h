#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"
#include "routing/types/route.h"
#include "routing/types/servicelimits.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace radishladder::routing {
struct Configuration;

//! The configuration in force and the data centres taken out; versions never go back.
class RouteTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Puts \a configuration in force; false if it is not newer than the one in force.
    bool apply(Configuration configuration);

    //! Null if there is no such route.
    const Route *find(const net::Endpoint &address) const;

    //! True if a configuration that was in force had a route there and the one in force has none.
    bool wasRemoved(const net::Endpoint &address) const;

    ServiceLimits limits(const ServiceName &service) const;

    std::uint64_t version() const { return this->currentVersion; }
    bool isLoaded() const { return this->currentVersion > 0; }
    std::chrono::milliseconds idleTimeout() const { return this->idle; }
    std::size_t size() const { return this->routes.size(); }

    //! Operators took \a dataCentre out; true if that is new.
    bool evacuate(const DataCentreName &dataCentre, TimePoint now);

    //! Operators took \a dataCentre back; true if it was out.
    bool takeBack(const DataCentreName &dataCentre);

    bool isEvacuated(const DataCentreName &dataCentre) const;

    //! True if \a dataCentre has been out for \a grace or longer.
    bool isEvacuatedFor(const DataCentreName &dataCentre, std::chrono::milliseconds grace,
                        TimePoint now) const;

    //! Data centres that are out.
    std::vector<DataCentreName> evacuated() const;

private:
    struct EndpointHash
    {
        std::size_t operator()(const net::Endpoint &endpoint) const noexcept
        {
            return std::hash<std::uint64_t>()(std::uint64_t{endpoint.address} << 16U
                                              | endpoint.port);
        }
    };

    std::uint64_t currentVersion = 0;
    std::chrono::milliseconds idle{15000};
    std::unordered_map<net::Endpoint, Route, EndpointHash> routes;
    std::unordered_set<net::Endpoint, EndpointHash> removed;
    std::unordered_map<ServiceName, ServiceLimits> services;
    std::unordered_map<DataCentreName, TimePoint> out;
};
}
