#include "settings/configurationwarnings.h"

#include "settings/types/configuration.h"
#include "settings/types/warning.h"

#include <algorithm>

namespace radishladder::settings {
namespace {
using Warnings = std::vector<Warning>;

//! Start of the multicast and reserved address ranges.
constexpr std::uint32_t kFirstMulticastAddress = 0xe0000000;

bool isUnicast(const net::Endpoint &endpoint)
{
    return endpoint.address != 0 && endpoint.address < kFirstMulticastAddress;
}

bool isEvacuated(const Configuration &configuration, const DataCentreName &name)
{
    return std::ranges::any_of(configuration.dataCentres, [&name](const DataCentre &dataCentre) {
        return dataCentre.name == name && dataCentre.isEvacuated;
    });
}

bool hasUpstream(const Configuration &configuration, const DataCentreName &name)
{
    return std::ranges::any_of(configuration.services, [&name](const Service &service) {
        return std::ranges::any_of(service.upstreams, [&name](const Upstream &upstream) {
            return upstream.dataCentre == name;
        });
    });
}

void checkUpstream(const Upstream &upstream, const std::string &path, Warnings &found)
{
    if (!isUnicast(upstream.tunnel)) {
        found.push_back({path + "/address", "is no unicast address, so no packet arrives there"});
    }
    if (upstream.connections < upstream.slots) {
        found.push_back({path + "/connections",
                         "is less than slots, so the upstream never runs as many requests"});
    }
}

void checkUpstreams(const Configuration &configuration, const Service &service,
                    const std::string &path, Warnings &found)
{
    if (service.upstreams.empty()) {
        found.push_back({path, "is empty, so every flow is refused"});
        return;
    }
    const bool canServe =
        std::ranges::any_of(service.upstreams, [&configuration](const Upstream &upstream) {
            return !upstream.isDraining && !isEvacuated(configuration, upstream.dataCentre);
        });
    if (!canServe) {
        found.push_back({path,
                         "all drain or are in evacuated data centres, so every flow is "
                         "refused"});
    }
    for (const Upstream &upstream : service.upstreams) {
        checkUpstream(upstream, path + "/" + upstream.name.str(), found);
    }
}

void checkService(const Configuration &configuration, const Service &service, Warnings &found)
{
    const std::string path = "/services/" + service.name.str();
    if (!isUnicast(service.address)) {
        found.push_back({path + "/address", "is no unicast address, so no flow matches it"});
    }
    if (service.requestTimeout > service.idleTimeout) {
        found.push_back({path + "/requestTimeoutMs",
                         "is longer than idleSeconds, so a flow counts as ended while a request on "
                         "it may still run"});
    }
    checkUpstreams(configuration, service, path + "/upstreams", found);
}
}

std::vector<Warning> findWarnings(const Configuration &configuration)
{
    Warnings found;
    for (const DataCentre &dataCentre : configuration.dataCentres) {
        if (!hasUpstream(configuration, dataCentre.name)) {
            found.push_back({"/dataCentres/" + dataCentre.name.str(), "has no upstream"});
        }
    }
    for (const Service &service : configuration.services) {
        checkService(configuration, service, found);
    }
    return found;
}

std::string formatWarning(const Warning &warning)
{
    return "warning: " + warning.path + ": " + warning.detail;
}
}
