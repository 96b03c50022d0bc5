#include "flows/internal/openingadmission.h"

#include "flows/flowtable.h"
#include "flows/internal/decisions.h"
#include "flows/internal/suspectfilter.h"
#include "flows/types/directorlimits.h"
#include "flows/types/flowpacket.h"
#include "flows/types/serviceloadreport.h"
#include "membership/imembership.h"
#include "placement/admission.h"
#include "placement/iadmissionpolicy.h"
#include "placement/serviceload.h"
#include "placement/types/admissionrequest.h"
#include "placement/types/candidate.h"
#include "placement/types/loadsample.h"
#include "routing/routetable.h"
#include "upstreams/types/upstreamrecord.h"
#include "upstreams/upstreamregistry.h"

#include <algorithm>
#include <iterator>

namespace radishladder::flows {
namespace {
//! Load pattern: an upstream fails. Its requests wait until their clients give up, which shows
//! nothing about the load of the others. In a large fleet a VM has a single flow on an upstream,
//! which alone doesn't make the upstream a suspect.
bool isStuck(const UpstreamLoad &load, std::chrono::milliseconds targetLatency,
             std::chrono::steady_clock::time_point now)
{
    return load.silentFlows > 0 && now - load.silentSince > targetLatency;
}
}

OpeningAdmission::OpeningAdmission(const routing::RouteTable &routes,
                                   const upstreams::UpstreamRegistry &registry,
                                   const membership::IMembership &membership,
                                   const FlowTable &table, const SuspectFilter &suspects,
                                   placement::IAdmissionPolicy &policy,
                                   placement::ServiceLoad &serviceLoad,
                                   const DirectorLimits &limits)
    : routes(routes), registry(registry), membership(membership), table(table), suspects(suspects),
      policy(policy), serviceLoad(serviceLoad), limits(limits)
{ }

FlowDecision OpeningAdmission::decide(const FlowPacket &packet, const routing::Route &route,
                                      const ServiceName &service,
                                      const placement::Candidate &candidate,
                                      const upstreams::UpstreamRecord &upstream, TimePoint now)
{
    if (candidate.isSuspect) {
        // The flow probes whether the upstream responds again.
        return {};
    }
    if (const routing::RankedService *ranked = this->routes.findRanks(service)) {
        this->updateSamples(service, now);
        const placement::AdmissionDecision admission = this->policy.decide(
            {.rank = ranked->rankOf(route.priority),
             .rankCount = static_cast<int>(ranked->priorities.size()),
             .targetLatency = route.targetLatency,
             .retransmissions = packet.acknowledged,
             .clientAddress = packet.flow.client.address,
             .load = this->estimate(service, upstream.upstream.dataCentre, now)},
            now);
        if (admission.isRefused()) {
            FlowDecision decision = refuseOpening(packet, ResultCode::FlowRefusedByPriority);
            decision.upstream = upstream.upstream.id;
            decision.admission = admission;
            return decision;
        }
        if (admission.result == placement::AdmissionResult::Admitted) {
            return {};
        }
    }
    if (!placement::admitsSyn(candidate.limitingLoad(), packet.acknowledged)) {
        return refusePacket(FlowAction::Drop, ResultCode::FlowUpstreamsFull);
    }
    return {};
}

void OpeningAdmission::recordResponse(upstreams::UpstreamId upstream,
                                      std::chrono::milliseconds responseTime, TimePoint now)
{
    const upstreams::UpstreamRecord *record = this->registry.find(upstream);
    if (record != nullptr && this->routes.findRanks(record->upstream.service) != nullptr) {
        this->serviceLoad.recordResponse(record->upstream.service, record->upstream.dataCentre,
                                         responseTime, now);
    }
}

std::vector<ServiceLoadReport> OpeningAdmission::reports(TimePoint now)
{
    std::vector<ServiceLoadReport> reports;
    for (const auto &[service, ranked] : this->routes.rankedServices()) {
        std::ranges::move(this->reportsOf(service, now), std::back_inserter(reports));
    }
    return reports;
}

std::vector<ServiceLoadReport> OpeningAdmission::reportsOf(const ServiceName &service,
                                                           TimePoint now)
{
    std::vector<ServiceLoadReport> reports;
    const routing::RankedService *ranked = this->routes.findRanks(service);
    if (ranked == nullptr) {
        return reports;
    }
    for (const auto &[dataCentre, sample] : this->sample(service, now)) {
        this->serviceLoad.recordSample(service, dataCentre, sample, now);
        const placement::LoadEstimate load = this->estimate(service, dataCentre, now);
        reports.push_back(
            {.service = service,
             .dataCentre = dataCentre,
             .load = load,
             .pressure = placement::pressure(load, ranked->targetLatency),
             .pressureOfFewFlows = placement::pressureOfFewFlows(load, ranked->targetLatency),
             .slots = sample.slots,
             .silentSince = this->silentSince(service, dataCentre)});
    }
    return reports;
}

std::optional<OpeningAdmission::TimePoint> OpeningAdmission::silentSince(
    const ServiceName &service, const DataCentreName &dataCentre) const
{
    TimePoint silence;
    TimePoint response;
    for (const upstreams::UpstreamRecord *record : this->registry.findByService(service)) {
        const UpstreamLoad *load = this->table.findLoad(record->upstream.id);
        if (load == nullptr || record->upstream.dataCentre != dataCentre) {
            continue;
        }
        response = std::max(response, load->lastResponse);
        if (load->silentFlows > 0) {
            silence = std::max(silence, load->silentSince);
        }
    }
    // Missing responses affect no decision while automatic actions are frozen.
    const bool isSilent = this->limits.detectSilence && silence > response;
    return isSilent ? std::optional(silence) : std::nullopt;
}

void OpeningAdmission::updateSamples(const ServiceName &service, TimePoint now)
{
    if (!this->serviceLoad.needsSample(service, now)) {
        return;
    }
    for (const auto &[dataCentre, sample] : this->sample(service, now)) {
        this->serviceLoad.recordSample(service, dataCentre, sample, now);
    }
}

OpeningAdmission::Samples OpeningAdmission::sample(const ServiceName &service, TimePoint now) const
{
    const routing::RankedService *ranked = this->routes.findRanks(service);
    const auto targetLatency =
        ranked == nullptr ? std::chrono::milliseconds(0) : ranked->targetLatency;
    const auto members = std::max<std::size_t>(this->membership.members().size(), 1);
    Samples samples;
    for (const upstreams::UpstreamRecord *record : this->registry.findByService(service)) {
        const upstreams::Upstream &upstream = record->upstream;
        if (record->presence == upstreams::Presence::Gone
            || this->routes.isEvacuated(upstream.dataCentre)) {
            continue;
        }
        placement::LoadSample &sample = samples[upstream.dataCentre];
        sample.members = static_cast<int>(members);
        if (this->isSuspect(upstream, now)) {
            continue;
        }
        const UpstreamLoad *load = this->table.findLoad(upstream.id);
        if (load != nullptr && !isStuck(*load, targetLatency, now)) {
            sample.requestsInFlight += load->busyFlows;
        }
        if (record->acceptsNewFlows() && !record->isCold(now)) {
            sample.slots += upstream.slots;
        }
    }
    return samples;
}

bool OpeningAdmission::isSuspect(const upstreams::Upstream &upstream, TimePoint now) const
{
    return this->limits.detectSilence && this->suspects.isSuspect(upstream, now);
}

placement::LoadEstimate OpeningAdmission::estimate(const ServiceName &service,
                                                   const DataCentreName &dataCentre,
                                                   TimePoint now) const
{
    placement::LoadEstimate load = this->serviceLoad.estimate(service, dataCentre, now);
    if (!load.hasResponses && !this->limits.detectSilence) {
        // Missing responses affect no decision while automatic actions are frozen.
        return {};
    }
    return load;
}
}
