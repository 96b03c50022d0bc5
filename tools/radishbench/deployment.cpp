#include "radishbench/deployment.h"

#include <algorithm>

namespace radishladder::radishbench {
namespace {
constexpr int kVmNet = 10;
constexpr int kListedVmNet = 11;
constexpr int kUpstreamNet = 100;
constexpr int kServiceNet = 200;
constexpr int kCallerNet = 220;
constexpr int kStoreNet = 250;
constexpr int kCallerAddresses = 16;
constexpr std::uint16_t kServicePort = 443;
const char *const kBenchPeerKey =
    "5d1f0a7c3be94286a0c7d5e1f2938475b6a7c8d9e0f1a2b3c4d5e6f708192a3b";

struct ServiceShape
{
    const char *name;
    const char *upstreamPrefix;
    int upstreams;
    int priority;
};

struct DeploymentShape
{
    const char *name;
    std::vector<const char *> dataCentres;
    int vms;
    std::vector<ServiceShape> services;
    std::chrono::microseconds betweenDataCentres;
    std::chrono::microseconds toCallers;
    std::chrono::milliseconds requestTime;
};

const std::vector<DeploymentShape> &shapes()
{
    using namespace std::chrono_literals;
    static const std::vector<DeploymentShape> kShapes = {
        {"small", {"obuda"}, 3, {{"mutermi-portal", "portal", 4, 20}}, 0us, 0us, 20ms},
        {"kozmu",
         {"obuda", "ferencvaros", "kobanya", "ujpest"},
         8,
         {{"mutermi-portal", "portal", 14, 20}, {"hangfogado", "hang", 4, 10}},
         1000us,
         3000us,
         50ms},
        {"lexikonsedel",
         {"fyrisvallen", "polacksbacken", "ultuna"},
         6,
         {{"slipserve", "slip", 14, 20}, {"skanna", "skanna", 4, 10}},
         1500us,
         1000us,
         50ms},
    };
    return kShapes;
}

std::uint32_t address(int network, int third, int fourth)
{
    return 127U << 24 | static_cast<std::uint32_t>(network) << 16
        | static_cast<std::uint32_t>(third) << 8 | static_cast<std::uint32_t>(fourth);
}

DataCentreName dataCentreOf(const DeploymentShape &shape, int index)
{
    return DataCentreName(
        shape.dataCentres[static_cast<std::size_t>(index) % shape.dataCentres.size()]);
}

settings::VmSettings makeVm(const DeploymentShape &shape, const DeploymentOptions &options,
                            int index, int third)
{
    const std::uint32_t own = address(options.network, third, index + 1);
    settings::VmSettings vm;
    vm.name = VmName("vm-" + std::to_string(index + 1));
    vm.dataCentre = dataCentreOf(shape, index);
    vm.data = {own, 7000};
    vm.peer = {own, 7010};
    vm.requests = {own, 7080};
    vm.admin = {own, 7090};
    vm.platform = {{address(options.network, kStoreNet, 1), 2379}};
    vm.peerKeys = {kBenchPeerKey};
    vm.adminToken = "bench";
    vm.flowMechanism = options.flowMechanism;
    vm.requestMechanism = options.requestMechanism;
    return vm;
}

settings::Service makeService(const DeploymentShape &shape, int network, int index)
{
    const ServiceShape &serviceShape = shape.services[static_cast<std::size_t>(index)];
    settings::Service service;
    service.name = ServiceName(serviceShape.name);
    service.address = {address(network, kServiceNet, index + 1), kServicePort};
    service.priority = serviceShape.priority;
    for (int i = 0; i < serviceShape.upstreams; ++i) {
        const std::uint32_t host = address(network, kUpstreamNet + index, i + 1);
        settings::Upstream upstream;
        upstream.name =
            UpstreamName(std::string(serviceShape.upstreamPrefix) + "-" + std::to_string(i + 1));
        upstream.dataCentre = dataCentreOf(shape, i);
        upstream.tunnel = {host, 6080};
        upstream.http = {host, 8080};
        service.upstreams.push_back(upstream);
    }
    return service;
}
}

std::optional<Deployment> makeDeployment(const std::string &name, const DeploymentOptions &options)
{
    const auto shape = std::ranges::find(shapes(), name, &DeploymentShape::name);
    if (shape == shapes().end()) {
        return std::nullopt;
    }
    Deployment deployment;
    deployment.name = name;
    deployment.store = {address(options.network, kStoreNet, 1), 2379};
    deployment.fabric = {address(options.network, kCallerNet, kCallerAddresses + 1), 0};
    deployment.requestCaller = address(options.network, kCallerNet, kCallerAddresses + 2);
    for (int i = 0; i < kCallerAddresses; ++i) {
        deployment.callers.push_back(address(options.network, kCallerNet, i + 1));
    }
    deployment.betweenDataCentres = shape->betweenDataCentres;
    deployment.toCallers = shape->toCallers;
    deployment.requestTime = shape->requestTime;
    deployment.configuration.generation = 1;
    deployment.configuration.changeId = "bench-1";
    for (const char *dataCentre : shape->dataCentres) {
        deployment.configuration.dataCentres.push_back({DataCentreName(dataCentre), false});
    }
    for (int i = 0; i < static_cast<int>(shape->services.size()); ++i) {
        deployment.configuration.services.push_back(makeService(*shape, options.network, i));
    }
    for (int i = 0; i < options.vms.value_or(shape->vms); ++i) {
        deployment.vms.push_back(makeVm(*shape, options, i, kVmNet));
        deployment.listedVms.push_back(deployment.vms.back());
        const std::uint32_t listed = address(options.network, kListedVmNet, i + 1);
        deployment.listedVms.back().data.address = listed;
        deployment.listedVms.back().peer.address = listed;
        deployment.listedVms.back().requests.address = listed;
        deployment.listedVms.back().admin.address = listed;
    }
    return deployment;
}
}
