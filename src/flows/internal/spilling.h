#pragma once

#include "global/name.h"

#include <chrono>
#include <optional>

namespace radishladder::membership {
class IMembership;
}
namespace radishladder::placement {
class SpillControl;
struct SpillDecision;
}
namespace radishladder::routing {
class RouteTable;
}

namespace radishladder::flows {
class OpeningAdmission;
struct ServiceLoadReport;

//! Decides which new flows of services with ranked routes are sent to another data centre, from the
//! measured load.
class Spilling
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    Spilling(const routing::RouteTable &routes, const membership::IMembership &membership,
             OpeningAdmission &admission, placement::SpillControl &control,
             DataCentreName dataCentre);

    //! Returns where a new flow of \a service is sent; std::nullopt if the rule for all services
    //! applies.
    std::optional<placement::SpillDecision> decide(const ServiceName &service, TimePoint now);

    //! Returns true if new flows of \a service that aren't sent to another data centre stay in the
    //! own one, since its pressure is known and low.
    bool staysLocal(const ServiceName &service, TimePoint now) const;

private:
    bool isUsedFor(const ServiceName &service) const;
    //! Returns the factor from the pressure by response time to the whole pressure of \a report.
    double pressureOverResponseTime(const ServiceName &service,
                                    const ServiceLoadReport &report) const;
    void update(const ServiceName &service, TimePoint now);

    const routing::RouteTable &routes;
    const membership::IMembership &membership;
    OpeningAdmission &admission;
    placement::SpillControl &control;
    DataCentreName dataCentre;
};
}
