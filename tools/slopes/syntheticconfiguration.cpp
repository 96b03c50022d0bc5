#include "slopes/syntheticconfiguration.h"

namespace radishladder::slopes {
namespace {
constexpr std::size_t kDataCentres = 28;
constexpr std::uint32_t kServiceNet = 0x0a000000;
constexpr std::uint32_t kUpstreamNet = 0x0b000000;
}

settings::Configuration syntheticConfiguration(std::size_t services, std::size_t upstreams)
{
    settings::Configuration configuration{.generation = 1, .changeId = "synthetic"};
    for (std::size_t i = 0; i < kDataCentres; ++i) {
        configuration.dataCentres.push_back(
            {DataCentreName("data-centre-" + std::to_string(i)), false});
    }
    std::uint32_t host = 0;
    for (std::size_t i = 0; i < services; ++i) {
        settings::Service service{.name = ServiceName("service-" + std::to_string(i)),
                                  .address = {kServiceNet + static_cast<std::uint32_t>(i), 443}};
        for (std::size_t k = 0; k < upstreams; ++k) {
            ++host;
            service.upstreams.push_back(
                {.name = UpstreamName("host-" + std::to_string(host)),
                 .dataCentre = configuration.dataCentres[host % kDataCentres].name,
                 .tunnel = {kUpstreamNet + host, 6080},
                 .http = {kUpstreamNet + host, 8080}});
        }
        configuration.services.push_back(std::move(service));
    }
    return configuration;
}
}
