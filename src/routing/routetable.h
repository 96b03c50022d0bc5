#pragma once

#include "global/name.h"
#include "net/types/endpoint.h"
#include "routing/types/rankedservice.h"
#include "routing/types/route.h"
#include "routing/types/servicelimits.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace radishladder::routing {
struct Configuration;

//! Holds the active configuration and the evacuated data centres; the version never decreases.
class RouteTable
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    //! Activates \a configuration; returns false if it isn't newer than the active one.
    bool apply(Configuration configuration);

    //! Returns null if there is no route for \a address.
    const Route *find(const net::Endpoint &address) const;

    //! Returns true if an earlier configuration had a route for \a address and the active one has
    //! none.
    bool wasRemoved(const net::Endpoint &address) const;

    //! Records that every change that the store accepted before \a confirmed has been received.
    void recordConfirmation(TimePoint confirmed)
    {
        this->confirmationTime = std::max(this->confirmationTime, confirmed);
    }
    //! Forgets all confirmations: the store may have lost changes that it had accepted.
    void discardConfirmations() { this->confirmationTime = {}; }
    TimePoint confirmedAt() const { return this->confirmationTime; }

    //! Returns the default limits if the configuration has none for \a service.
    ServiceLimits limits(const ServiceName &service) const;

    //! Returns true if the configuration specifies for any service how many flows a cold upstream
    //! accepts.
    bool limitsWarmup() const;

    //! Returns null if \a service has no ranks: its routes have the same priority,
    //! or not all of them have a target latency.
    const RankedService *findRanks(const ServiceName &service) const;
    const std::unordered_map<ServiceName, RankedService> &rankedServices() const
    {
        return this->ranks;
    }

    std::uint64_t version() const { return this->currentVersion; }
    //! Returns true once a configuration has been applied.
    bool isLoaded() const { return this->currentVersion > 0; }
    std::chrono::milliseconds idleTimeout() const { return this->currentIdleTimeout; }
    std::size_t size() const { return this->routes.size(); }

    //! Marks \a dataCentre as evacuated; returns false if it already was.
    bool evacuate(const DataCentreName &dataCentre, TimePoint now);

    //! Ends the evacuation of \a dataCentre; returns false if it wasn't evacuated.
    bool endEvacuation(const DataCentreName &dataCentre);

    bool isEvacuated(const DataCentreName &dataCentre) const;

    //! Returns true if \a dataCentre has been evacuated for \a grace or longer.
    bool isEvacuatedFor(const DataCentreName &dataCentre, std::chrono::milliseconds grace,
                        TimePoint now) const;

    //! Returns the evacuated data centres.
    std::vector<DataCentreName> evacuatedDataCentres() const;

private:
    struct EndpointHash
    {
        std::size_t operator()(const net::Endpoint &endpoint) const noexcept
        {
            return std::hash<std::uint64_t>()(std::uint64_t{endpoint.address} << 16U
                                              | endpoint.port);
        }
    };

    //! Computes the ranks of the routes to each service.
    void updateRanks();

    std::uint64_t currentVersion = 0;
    TimePoint confirmationTime;
    std::chrono::milliseconds currentIdleTimeout{15000};
    std::unordered_map<net::Endpoint, Route, EndpointHash> routes;
    std::unordered_set<net::Endpoint, EndpointHash> removedAddresses;
    std::unordered_map<ServiceName, ServiceLimits> serviceLimits;
    std::unordered_map<ServiceName, RankedService> ranks;
    std::unordered_map<DataCentreName, TimePoint> evacuatedSince;
};
}
