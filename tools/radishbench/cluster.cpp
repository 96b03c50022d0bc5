#include "radishbench/cluster.h"

#include "radishbench/types/runoptions.h"
#include "settings/configurationcodec.h"
#include "settings/types/encodedconfiguration.h"
#include "store/storekeys.h"

#include <algorithm>

namespace radishladder::radishbench {
namespace {
std::vector<standins::TcpLink::Route> tcpRoutes(const Deployment &deployment)
{
    std::vector<standins::TcpLink::Route> routes;
    for (std::size_t i = 0; i < deployment.vms.size(); ++i) {
        routes.push_back({deployment.listedVms[i].requests, deployment.vms[i].requests});
        routes.push_back({deployment.listedVms[i].admin, deployment.vms[i].admin});
    }
    return routes;
}
}

Cluster::Cluster(const RunOptions &options, Deployment deployment)
    : plan(std::move(deployment)), random(options.seed), storeStandin(this->plan.store),
      fabricStandin(this->plan.fabric, this->plan.vms, this->plan.toCallers, this->random,
                    this->eventLoop),
      linkStandin(this->plan.vms, this->plan.listedVms, this->networkMap, this->eventLoop),
      tcpLink(tcpRoutes(this->plan), this->networkMap),
      list(this->plan.listedVms, this->storeStandin, this->fabricStandin, this->eventLoop),
      daemons(options.daemon, this->plan.vms, options.logDirectory)
{
    this->placeAddresses();
}

Cluster::~Cluster() = default;

bool Cluster::start()
{
    const auto encoded = settings::ConfigurationCodec().encode(this->plan.configuration);
    for (const auto &[digest, part] : encoded.partsByDigest) {
        this->storeStandin.put(std::string(store::kPartPrefix) + digest, part);
    }
    this->storeStandin.put(std::string(store::kConfigurationKey), encoded.head);
    this->list.publish();
    if (!this->storeStandin.start() || !this->fabricStandin.start() || !this->linkStandin.start()
        || !this->tcpLink.start()) {
        this->reason = "the store, fabric or link stand-in cannot bind its addresses";
        return false;
    }
    if (!this->startUpstreams()) {
        return false;
    }
    for (std::size_t i = 0; i < this->plan.vms.size(); ++i) {
        if (!this->daemons.start(i)) {
            this->reason = "the daemon cannot be started";
            return false;
        }
    }
    return true;
}

bool Cluster::startUpstreams()
{
    bool isFirst = true;
    for (const settings::Service &service : this->plan.configuration.services) {
        const auto time = isFirst ? this->plan.requestTime : this->plan.uploadTime;
        isFirst = false;
        for (const settings::Upstream &upstream : service.upstreams) {
            this->hosts.push_back(std::make_unique<standins::UpstreamStandin>(
                service, upstream, this->networkMap, time, this->eventLoop));
            if (!this->hosts.back()->start()) {
                this->reason = upstream.name.str() + " cannot bind its addresses";
                return false;
            }
        }
    }
    return true;
}

standins::UpstreamStandin *Cluster::findUpstream(const std::string &name) const
{
    const auto found = std::ranges::find_if(
        this->hosts, [&name](const auto &host) { return host->description().name.str() == name; });
    return found == this->hosts.end() ? nullptr : found->get();
}

std::size_t Cluster::vmIndex(const std::string &name) const
{
    const auto found = std::ranges::find(this->plan.vms, VmName(name), &settings::VmSettings::name);
    return static_cast<std::size_t>(found - this->plan.vms.begin());
}

std::vector<std::size_t> Cluster::vmsIn(const std::string &dataCentre) const
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < this->plan.vms.size(); ++i) {
        if (this->plan.vms[i].dataCentre.str() == dataCentre) {
            indices.push_back(i);
        }
    }
    return indices;
}

void Cluster::placeAddresses()
{
    this->networkMap.setDelays(this->plan.betweenDataCentres, this->plan.toCallers);
    for (const settings::VmSettings &vm : this->plan.vms) {
        this->networkMap.place(vm.data.address, vm.dataCentre);
    }
    for (const settings::Service &service : this->plan.configuration.services) {
        for (const settings::Upstream &upstream : service.upstreams) {
            this->networkMap.place(upstream.tunnel.address, upstream.dataCentre);
        }
    }
}
}
