#include "flows/internal/spilling.h"

#include "flows/internal/openingadmission.h"
#include "flows/types/serviceloadreport.h"
#include "membership/imembership.h"
#include "placement/spillcontrol.h"
#include "placement/types/ownpressure.h"
#include "placement/types/spilldecision.h"
#include "placement/types/spilltarget.h"
#include "placement/upstreamsubset.h"
#include "routing/routetable.h"

#include <algorithm>
#include <vector>

namespace radishladder::flows {
Spilling::Spilling(const routing::RouteTable &routes, const membership::IMembership &membership,
                   OpeningAdmission &admission, placement::SpillControl &control,
                   DataCentreName dataCentre)
    : routes(routes), membership(membership), admission(admission), control(control),
      dataCentre(std::move(dataCentre))
{ }

std::optional<placement::SpillDecision> Spilling::decide(const ServiceName &service, TimePoint now)
{
    if (!this->isUsedFor(service)) {
        return std::nullopt;
    }
    if (this->control.needsUpdate(service, now)) {
        this->update(service, now);
    }
    return this->control.decide(service, now);
}

bool Spilling::staysLocal(const ServiceName &service, TimePoint now) const
{
    return this->isUsedFor(service) && this->control.hasRoom(service, now);
}

bool Spilling::isUsedFor(const ServiceName &service) const
{
    return this->routes.findRanks(service) != nullptr
        && placement::UpstreamSubset::isUsedBy(this->membership.members().size());
}

double Spilling::pressureOverResponseTime(const ServiceName &service,
                                          const ServiceLoadReport &report) const
{
    // Requests in flight per slot in another data centre are mostly those of its own VMs, which
    // this VM can't see. By Little's law they are in proportion to the response time, as here.
    // Without this factor, data centres that are all overloaded spill to each other.
    using Seconds = std::chrono::duration<double>;
    const Seconds responseTime(report.load.responseTime);
    if (!report.pressure || !report.load.hasResponses || responseTime.count() <= 0) {
        return 1;
    }
    const Seconds target(this->routes.findRanks(service)->targetLatency);
    return std::max(1.0, *report.pressure * 0.5 * target / responseTime);
}

void Spilling::update(const ServiceName &service, TimePoint now)
{
    placement::OwnPressure own;
    std::vector<placement::SpillTarget> targets;
    bool hasOwnSlots = false;
    double perResponseTime = 1;
    for (const ServiceLoadReport &report : this->admission.reportsOf(service, now)) {
        if (report.dataCentre == this->dataCentre) {
            own = {.value = report.pressure, .age = report.load.age};
            hasOwnSlots = report.slots > 0;
            perResponseTime = this->pressureOverResponseTime(service, report);
            continue;
        }
        targets.push_back({.dataCentre = report.dataCentre,
                           .isUsable = report.slots > 0,
                           .pressure = report.pressureOfFewFlows,
                           .age = report.load.age,
                           .silentSince = report.silentSince});
    }
    for (placement::SpillTarget &target : targets) {
        if (target.pressure) {
            *target.pressure *= perResponseTime;
        }
    }
    if (!hasOwnSlots) {
        // All flows are sent to other data centres, by the rule for all services.
        targets.clear();
    }
    this->control.update(service, own, targets, now);
}
}
