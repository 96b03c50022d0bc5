#include "routing/routetable.h"

#include "routing/types/configuration.h"

namespace radishladder::routing {
bool RouteTable::apply(Configuration configuration)
{
    if (configuration.version <= this->currentVersion) {
        return false;
    }
    for (const auto &[address, route] : this->routes) {
        this->removedAddresses.insert(address);
    }
    this->routes.clear();
    this->routes.reserve(configuration.routes.size());
    for (Route &route : configuration.routes) {
        const net::Endpoint address = route.address;
        this->removedAddresses.erase(address);
        this->routes.insert_or_assign(address, std::move(route));
    }
    this->serviceLimits = std::move(configuration.services);
    this->currentIdleTimeout = configuration.idleTimeout;
    this->currentVersion = configuration.version;
    return true;
}

const Route *RouteTable::find(const net::Endpoint &address) const
{
    const auto route = this->routes.find(address);
    return route == this->routes.end() ? nullptr : &route->second;
}

bool RouteTable::wasRemoved(const net::Endpoint &address) const
{
    return this->removedAddresses.contains(address);
}

ServiceLimits RouteTable::limits(const ServiceName &service) const
{
    const auto limits = this->serviceLimits.find(service);
    return limits == this->serviceLimits.end() ? ServiceLimits() : limits->second;
}

bool RouteTable::evacuate(const DataCentreName &dataCentre, TimePoint now)
{
    return this->evacuatedSince.emplace(dataCentre, now).second;
}

bool RouteTable::endEvacuation(const DataCentreName &dataCentre)
{
    return this->evacuatedSince.erase(dataCentre) > 0;
}

bool RouteTable::isEvacuated(const DataCentreName &dataCentre) const
{
    return this->evacuatedSince.contains(dataCentre);
}

bool RouteTable::isEvacuatedFor(const DataCentreName &dataCentre, std::chrono::milliseconds grace,
                                TimePoint now) const
{
    const auto since = this->evacuatedSince.find(dataCentre);
    return since != this->evacuatedSince.end() && now - since->second >= grace;
}

std::vector<DataCentreName> RouteTable::evacuatedDataCentres() const
{
    std::vector<DataCentreName> names;
    for (const auto &[name, since] : this->evacuatedSince) {
        names.push_back(name);
    }
    return names;
}
}
