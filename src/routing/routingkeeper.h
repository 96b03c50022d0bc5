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

//! Puts what operators change in force and logs each change.
class RoutingKeeper : public IRoutingListener
{
public:
    RoutingKeeper(RouteTable &table, const IClock &clock, telemetry::IEventLog &log);

    void onConfiguration(Configuration configuration) override;
    void onConfigurationRejected(const std::string &detail) override;
    void onEvacuations(const std::vector<DataCentreName> &out) override;
    void onEvacuated(const DataCentreName &dataCentre) override;
    void onTakenBack(const DataCentreName &dataCentre) override;

private:
    RouteTable &table;
    const IClock &clock;
    telemetry::IEventLog &log;
};
}
