#pragma once

#include "flows/types/flowdecision.h"
#include "global/name.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace radishladder::membership {
class IMembership;
}
namespace radishladder::placement {
class IAdmissionPolicy;
class ServiceLoad;
struct Candidate;
struct LoadEstimate;
struct LoadSample;
}
namespace radishladder::routing {
class RouteTable;
struct Route;
}
namespace radishladder::upstreams {
class UpstreamRegistry;
struct Upstream;
struct UpstreamRecord;
}

namespace radishladder::flows {
class FlowTable;
class SuspectFilter;
struct DirectorLimits;
struct FlowPacket;
struct ServiceLoadReport;

//! Measures the load of services with ranked routes and decides whether a SYN is admitted to the
//! upstream selected for it.
class OpeningAdmission
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    OpeningAdmission(const routing::RouteTable &routes, const upstreams::UpstreamRegistry &registry,
                     const membership::IMembership &membership, const FlowTable &table,
                     const SuspectFilter &suspects, placement::IAdmissionPolicy &policy,
                     placement::ServiceLoad &serviceLoad, const DirectorLimits &limits);

    //! Returns why the SYN \a packet must not be forwarded to \a upstream, which was selected as
    //! \a candidate; the reason of the decision is Ok if it may be forwarded.
    FlowDecision decide(const FlowPacket &packet, const routing::Route &route,
                        const ServiceName &service, const placement::Candidate &candidate,
                        const upstreams::UpstreamRecord &upstream, TimePoint now);

    //! Records that \a upstream responded to a request after \a responseTime.
    void recordResponse(upstreams::UpstreamId upstream, std::chrono::milliseconds responseTime,
                        TimePoint now);

    //! Returns the load of every service with ranked routes in each data centre with upstreams.
    std::vector<ServiceLoadReport> reports(TimePoint now);

    //! Returns the load of \a service in each data centre with upstreams; empty if its routes have
    //! no ranks.
    std::vector<ServiceLoadReport> reportsOf(const ServiceName &service, TimePoint now);

private:
    using Samples = std::map<DataCentreName, placement::LoadSample>;

    //! Returns since when the upstreams of \a service in \a dataCentre are silent, by the newest
    //! silence of one of them; std::nullopt if any of them has responded since.
    std::optional<TimePoint> silentSince(const ServiceName &service,
                                         const DataCentreName &dataCentre) const;

    //! Measures the requests in flight of \a service in each data centre, unless the last
    //! measurement is recent.
    void updateSamples(const ServiceName &service, TimePoint now);
    Samples sample(const ServiceName &service, TimePoint now) const;
    bool isSuspect(const upstreams::Upstream &upstream, TimePoint now) const;
    placement::LoadEstimate estimate(const ServiceName &service, const DataCentreName &dataCentre,
                                     TimePoint now) const;

    const routing::RouteTable &routes;
    const upstreams::UpstreamRegistry &registry;
    const membership::IMembership &membership;
    const FlowTable &table;
    const SuspectFilter &suspects;
    placement::IAdmissionPolicy &policy;
    placement::ServiceLoad &serviceLoad;
    const DirectorLimits &limits;
};
}
