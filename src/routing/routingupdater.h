#pragma once

#include "routing/iroutinglistener.h"

#include <chrono>
#include <functional>
#include <optional>
#include <unordered_set>

namespace radishladder {
class IClock;
}
namespace radishladder::telemetry {
class IEventLog;
}

namespace radishladder::routing {
class RouteTable;

//! Applies changes that operators make to a route table and logs each change. Evacuations that a
//! restored store lacks are kept for a limited time, in which operators can write them again.
class RoutingUpdater : public IRoutingListener
{
public:
    //! \a recoveryTime is the time after a restore of the store within which operators have written
    //! again what the store lost.
    RoutingUpdater(RouteTable &table, const IClock &clock, telemetry::IEventLog &log,
                   std::chrono::milliseconds recoveryTime);

    //! Sets the function that is called when evacuations have ended in the store. They end here
    //! with completeReturns(); without a function, at once.
    void setReturnHandler(std::function<void()> handler)
    {
        this->returnHandler = std::move(handler);
    }

    //! Ends the evacuations that have ended in the store: all changes of the upstreams until then
    //! have been received.
    void completeReturns();

    void onConfiguration(Configuration configuration) override;
    void onConfigurationRejected(const std::string &detail) override;
    void onEvacuations(const std::vector<DataCentreName> &evacuated) override;
    void onUpToDate(std::chrono::steady_clock::time_point confirmedAt) override;
    void onEraChanged() override;
    void onEvacuated(const DataCentreName &dataCentre) override;
    void onEvacuationEnded(const DataCentreName &dataCentre) override;

private:
    void keep(const DataCentreName &dataCentre);
    void endEvacuation(const DataCentreName &dataCentre);

    RouteTable &table;
    const IClock &clock;
    telemetry::IEventLog &log;
    std::chrono::milliseconds recoveryTime;

    //! Time at which a restore of the store was reported; std::nullopt once a confirmation that is
    //! later by the recovery time was received.
    std::optional<std::chrono::steady_clock::time_point> restoredAt;

    //! Evacuations that the restored store lacks.
    std::unordered_set<DataCentreName> kept;

    //! Data centres whose evacuations have ended in the store, but not here.
    std::unordered_set<DataCentreName> returning;
    std::function<void()> returnHandler;
};
}
