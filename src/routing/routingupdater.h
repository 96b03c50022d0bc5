#pragma once

#include "routing/iroutinglistener.h"

namespace radishladder {
class IClock;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::routing {
class RouteTable;

//! Applies changes that operators make to a route table and logs each change.
class RoutingUpdater : public IRoutingListener
{
public:
    RoutingUpdater(RouteTable &table, const IClock &clock, telemetry::IEventLog &log);

    void onConfiguration(Configuration configuration) override;
    void onConfigurationRejected(const std::string &detail) override;
    void onEvacuations(const std::vector<DataCentreName> &evacuated) override;
    void onUpToDate(std::chrono::steady_clock::time_point confirmedAt) override;
    void onEvacuated(const DataCentreName &dataCentre) override;
    void onEvacuationEnded(const DataCentreName &dataCentre) override;

private:
    RouteTable &table;
    const IClock &clock;
    telemetry::IEventLog &log;
};
}
