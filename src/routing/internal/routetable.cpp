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
    this->updateRanks();
    this->serviceLimits = std::move(configuration.services);
    this->currentIdleTimeout = configuration.idleTimeout;
    this->currentVersion = configuration.version;
    return true;
}

void RouteTable::updateRanks()
{
    this->ranks.clear();
    std::unordered_set<ServiceName> withoutTarget;
    for (const auto &[address, route] : this->routes) {
        for (const WeightedService &weighted : route.services) {
            RankedService &ranked = this->ranks[weighted.service];
            ranked.priorities.push_back(route.priority);
            if (route.targetLatency.count() == 0) {
                withoutTarget.insert(weighted.service);
            } else if (ranked.targetLatency.count() == 0) {
                ranked.targetLatency = route.targetLatency;
            } else {
                ranked.targetLatency = std::min(ranked.targetLatency, route.targetLatency);
            }
        }
    }
    for (auto &[service, ranked] : this->ranks) {
        std::ranges::sort(ranked.priorities);
        ranked.priorities.erase(std::unique(ranked.priorities.begin(), ranked.priorities.end()),
                                ranked.priorities.end());
    }
    std::erase_if(this->ranks, [&withoutTarget](const auto &entry) {
        return entry.second.priorities.size() < 2 || withoutTarget.contains(entry.first);
    });
}

const RankedService *RouteTable::findRanks(const ServiceName &service) const
{
    const auto found = this->ranks.find(service);
    return found == this->ranks.end() ? nullptr : &found->second;
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

bool RouteTable::limitsWarmup() const
{
    return std::ranges::any_of(this->serviceLimits, [](const auto &entry) {
        return entry.second.warmupFlowsPerSecond > 0;
    });
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
